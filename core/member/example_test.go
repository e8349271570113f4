package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"baobabstep"
	"baobabstep/core/member"
)

// Two VMs find each other through a seed given to one of them, and a planned stop
// is known at once. The caller delivers the messages and supplies the time.
func Example() {
	now := time.Unix(1_000_000_000, 0)
	fleets := make(map[baobabstep.VMID]*member.Fleet)
	vm := func(name string) baobabstep.VM {
		return baobabstep.VM{ID: baobabstep.MakeVMID(name), Name: name, Region: "pt-norte", DataCentre: "braga-a"}
	}
	for i, name := range []string{"vm-1", "vm-2"} {
		fleets[vm(name).ID] = member.New(now, member.Options{Self: vm(name), Rand: rand.New(rand.NewPCG(1, uint64(i)))})
	}
	var carry func(from baobabstep.VMID, outs []member.Out)
	carry = func(from baobabstep.VMID, outs []member.Out) {
		for _, out := range outs {
			carry(out.To, fleets[out.To].Handle(now, from, out.Body))
		}
	}
	first, second := vm("vm-1").ID, vm("vm-2").ID
	fleets[second].SetSeeds(now, []baobabstep.VM{vm("vm-1")})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		carry(first, fleets[first].Tick(now))
		carry(second, fleets[second].Tick(now))
	}
	fmt.Println("members:", len(fleets[first].View(now).Members), "unsure:", fleets[first].View(now).Unsure)

	carry(second, fleets[second].Leave(now))
	fmt.Println("members:", len(fleets[first].View(now).Members))
	// Output:
	// members: 2 unsure: false
	// members: 1
}
