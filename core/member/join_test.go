package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/core/member"
)

// A VM dies and starts anew within the second. Its peers would pass it flows
// and requests again at once, and it would answer "unknown" to all of them,
// since it has forgotten what it held and knows nobody yet. A joining VM is
// therefore known and probed, but in no view, its own included, until it joins.
func TestJoiningVMIsInNoViewUntilItJoins(t *testing.T) {
	x := newExchange(t)
	x.start("a0", "a")
	x.start("a1", "a", "a0")
	x.run(3 * time.Second)
	x.assertMembers(2)

	x.kill("a1")
	vm := x.vms["a1"]
	vm.Joining, vm.Incarnation = true, 100
	again := member.New(x.now, member.Options{Self: vm, Rand: rand.New(rand.NewPCG(1, 2))})
	again.Seeds(x.now, x.list("a0"))
	x.fleets[vm.ID] = again
	x.run(3 * time.Second)
	x.assertMembers(1)
	qt.Check(t, x.fleet("a0").Stats().Known, qt.Equals, 2)

	again.Join(x.now)
	x.run(2 * time.Second)
	x.assertMembers(2)
}

// assertMembers checks the size of every VM's view.
func (x *exchange) assertMembers(want int) {
	x.t.Helper()
	for id, f := range x.fleets {
		qt.Check(x.t, f.View(x.now).Members, qt.HasLen, want, qt.Commentf("view of %x", uint64(id)))
	}
}
