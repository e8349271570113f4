package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/core/member"
)

// A VM that restarts within a second has lost its records and answers "unknown" to
// the flows and requests that its peers would pass to it. While it joins, it is
// known and probed, but in no view, its own included.
func TestJoiningVMIsInNoViewUntilItJoins(t *testing.T) {
	x := newSimNetwork(t)
	x.start("a0", "a")
	x.start("a1", "a", "a0")
	x.run(3 * time.Second)
	x.assertViewSizes(2)

	x.kill("a1")
	vm := x.vms["a1"]
	vm.Joining, vm.Incarnation = true, 100
	again := member.New(x.now, member.Options{Self: vm, Rand: rand.New(rand.NewPCG(1, 2))})
	again.SetSeeds(x.now, x.vmList("a0"))
	x.fleets[vm.ID] = again
	x.run(3 * time.Second)
	x.assertViewSizes(1)
	qt.Check(t, x.fleet("a0").Stats().Known, qt.Equals, 2)

	again.Join(x.now)
	x.run(2 * time.Second)
	x.assertViewSizes(2)
}

// assertViewSizes checks the number of members in every view.
func (x *simNetwork) assertViewSizes(want int) {
	x.t.Helper()
	for id, f := range x.fleets {
		qt.Check(x.t, f.View(x.now).Members, qt.HasLen, want, qt.Commentf("view of %x", uint64(id)))
	}
}
