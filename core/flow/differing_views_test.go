package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Callers open and use flows while VMs join or leave. Half of the VMs have the
// new view, so an open and its repetition may reach two holders, and data may
// reach a holder without the record. Each flow must stay on one target, and no
// other may have it, since its data would then be split.
func TestViewsThatDiffer(t *testing.T) {
	t.Parallel()
	for differ := 1; differ <= 3; differ++ {
		for _, order := range []string{"gone", "joined", "gone dead"} {
			t.Run(fmt.Sprintf("%d %s", differ, order), func(t *testing.T) {
				x := newTestNetwork(t, fleet{vms: 12, dcs: 2, targets: 6})
				old, next := x.vms, x.vms[differ:]
				if order == "joined" {
					old, next = next, old
					x.setViews(old)
					x.advance(20 * time.Second)
				}
				var flows []*fakeCaller
				for n := range 120 {
					flows = append(flows, x.open(n))
				}
				if order == "gone dead" {
					for _, vm := range old[:differ] {
						x.kill(vm.ID)
					}
				}
				for i, vm := range x.vms {
					if i%2 == 0 {
						x.setView(vm.ID, next)
					}
				}
				x.assertAlive(flows...)
				for n := 120; n < 160; n++ {
					x.sendOpen(n, x.alive()[n%2].ID)
					x.sendOpen(n, x.alive()[(n+1)%2].ID)
				}
				if order != "gone dead" {
					qt.Assert(t, x.events("target_search"), qt.Equals, uint64(0))
				}
				x.setViews(next)
				for n := 120; n < 160; n++ {
					flows = append(flows, x.open(n))
				}
				x.advance(5 * time.Second)
				x.assertAlive(flows...)
				x.advance(20 * time.Second)
				x.assertAlive(flows...)
			})
		}
	}
}

// Callers keep their flows while every VM is replaced, one after the other. A
// flow breaks if both its owners are replaced before either copied its record,
// so records must be copied faster than VMs are replaced.
func TestAllVMsReplacedOneAfterAnother(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"killed", "stopped"} {
		t.Run(how, func(t *testing.T) {
			x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
			var flows []*fakeCaller
			for n := range 150 {
				flows = append(flows, x.open(n))
			}
			for i, old := range slices.Clone(x.vms) {
				x.advance(2 * time.Second)
				x.addVM(9+i, 3)
				if how == "stopped" {
					x.stop(old.ID)
				}
				x.kill(old.ID)
				x.setViews(x.alive())
				x.advance(10 * time.Second)
				x.assertAlive(flows[i*10 : i*10+10]...)
			}
			x.assertAlive(flows...)
			qt.Assert(t, x.events("target_search"), qt.Equals, uint64(0))
		})
	}
}

// Half of the VMs die at once, and with them both copies of about a fifth of
// the flows. None may break while its target has it; each must continue as
// soon as the targets were probed, at the rate of the search budget.
func TestHalfTheVMsDieAtOnce(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 12, dcs: 1, targets: 6})
	var flows []*fakeCaller
	for n := range 500 {
		flows = append(flows, x.open(n))
	}
	x.advance(5 * time.Second)
	lost := 0
	dead := x.vms[:6]
	for _, vm := range dead {
		x.kill(vm.ID)
	}
	for _, c := range flows {
		o := x.owners(c.key, x.vms)
		if x.dead[o.Holder] && x.dead[o.Second] {
			lost++
		}
	}
	x.setViews(x.alive())
	x.assertAlive(flows...)
	qt.Assert(t, x.events("recovered_from_target"), qt.Equals, uint64(lost))
	t.Logf("both copies of %d of %d flows died; all went on", lost, len(flows))
}

// A VM stops while it has the only copy of some records, since the other owner
// just died. The stop must not complete before another VM has each record.
func TestStopHandsOverSoleCopies(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 1, targets: 6})
	var flows []*fakeCaller
	for n := range 300 {
		flows = append(flows, x.open(n))
	}
	leaver, victim := x.vms[0].ID, x.vms[1].ID
	x.kill(victim)
	x.setViews(x.alive())
	sends := x.stop(leaver)
	qt.Assert(t, sends > 0, qt.IsTrue)
	x.kill(leaver)
	x.setViews(x.alive())
	x.assertAlive(flows...)
	qt.Assert(t, x.events("target_search"), qt.Equals, uint64(0))
}

// A VM resumes after a pause of a minute, during which others took over its
// flows, closed some and opened others. Its old records must neither route
// packets nor revive an ended flow.
func TestPausedVMResumes(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 9, dcs: 1, targets: 6})
	paused := x.vms[0].ID
	x.choosers[paused].prefer = x.config.Services[0].Targets[0].ID
	var flows []*fakeCaller
	for n := range 200 {
		if n%10 == 0 {
			// The paused VM keeps the record of an open that no
			// other VM received.
			x.lose = func(from baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
				return from == paused && s.Dest == baobabstep.DestVM
			}
			x.sendOpen(n, paused)
			x.lose = nil
			continue
		}
		flows = append(flows, x.open(n))
	}
	router := x.routers[paused]
	x.kill(paused)
	others := x.vms[1:]
	x.setViews(others)
	x.advance(time.Minute)
	for n := 0; n < 200; n += 10 {
		flows = append(flows, x.open(n))
	}
	for _, c := range flows[:20] {
		x.receive(0, baobabstep.Packet{Kind: baobabstep.KindClose, Flow: c.key})
		x.run()
	}
	x.routers[paused], x.dead[paused] = router, false
	router.SetPaused(x.now, true)
	for _, c := range flows[20:] {
		x.sendData(c, "while paused", paused)
		x.assertOneTarget(c)
	}
	router.SetPaused(x.now, false)
	x.setViews(x.vms)
	for _, c := range flows[20:] {
		x.sendData(c, "after the pause", paused)
	}
	x.advance(2 * time.Minute)
	x.assertAlive(flows[20:]...)
	for _, c := range flows[:20] {
		x.assertNoTargetHolds(c)
	}
}

// A caller did not receive the acceptance of its flow and repeats the open
// after VMs joined. Both owners are new and have no record. The open must
// visit the previous owners, or a second target would get the flow.
func TestRepeatedOpenVisitsPreviousOwners(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 12, dcs: 1, targets: 6})
	all := x.vms
	x.setViews(all[:4])
	x.lose = func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool { return s.Dest == baobabstep.DestCaller }
	for n := range 100 {
		x.sendOpen(n, all[0].ID)
	}
	x.lose = nil
	x.setViews(all)
	moved := 0
	for n := range 100 {
		c := x.sendOpen(n, all[n%4].ID)
		before, now := x.owners(c.key, all[:4]), x.owners(c.key, all)
		if !now.Has(before.Holder) && !now.Has(before.Second) {
			moved++
		}
		holders := 0
		for _, tg := range x.targets {
			if _, holds := tg.flows[c.key]; holds {
				holders++
			}
		}
		qt.Assert(t, holders, qt.Equals, 1)
	}
	qt.Assert(t, moved > 0, qt.IsTrue)
}

// A VM resumes after a pause and still considers itself the holder of its
// flows. An open repeated through it must find the record that the other VMs
// made.
func TestPausedVMOpensNothing(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 6, dcs: 1, targets: 6})
	paused := x.vms[0].ID
	router := x.routers[paused]
	x.kill(paused)
	x.setViews(x.alive())
	x.lose = func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool { return s.Dest == baobabstep.DestCaller }
	for n := range 100 {
		x.sendOpen(n, 0)
	}
	x.lose = nil
	x.routers[paused], x.dead[paused] = router, false
	router.SetPaused(x.now, true)
	for n := range 100 {
		c := x.sendOpen(n, paused)
		x.sendData(c, "hello", paused)
		x.assertOneTarget(c)
	}
	qt.Assert(t, router.Stats().Events["flow_opened"], qt.Equals, uint64(0))
}

// Many VMs rejoin at once, so the old and new owners of some flows have no VM
// in common. The caller's next packet must find the record through the
// previous owners; probing the targets would cost the caller a repetition.
func TestManyVMsReturnAtOnce(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 12, dcs: 1, targets: 6})
	all := x.vms
	x.setViews(all[:4])
	flows := openMany(x, 100)
	x.setViews(all)
	for i, c := range flows {
		x.receive(all[i%12].ID, baobabstep.Packet{Kind: baobabstep.KindData, Flow: c.key, Payload: []byte("hello")})
		x.run()
		qt.Assert(t, c.got, qt.HasLen, 1)
	}
	qt.Assert(t, x.events("target_search"), qt.Equals, uint64(0))
}

// A holder is paused and its acceptance of a flow is lost. The caller repeats
// the open, other VMs open the flow on another target, and data is sent there.
// After the pause the first VM is the holder again with its old record: it
// must not send data to its own record's target.
func TestLostAcceptance(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 6, dcs: 1, targets: 6})
	all := slices.Clone(x.vms)
	targets := x.config.Services[0].Targets
	for n := range 20 {
		paused := x.owners(x.key(n), all).Holder
		for vm, chooser := range x.choosers {
			chooser.prefer = targets[1].ID
			if vm == paused {
				chooser.prefer = targets[0].ID
			}
		}
		x.lose = func(from baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
			return from == paused && s.Packet.Kind == baobabstep.KindOpened
		}
		x.targetEntry = map[string]baobabstep.VMID{"dc0": paused}
		c := x.sendOpen(n, 0)
		qt.Assert(t, c.opened, qt.Equals, baobabstep.TargetID(0))
		x.lose, x.targetEntry = nil, nil
		router := x.routers[paused]
		x.kill(paused)
		// Remove the second copy's record, as a restart of its VM
		// would.
		second := x.owners(c.key, all).Second
		x.routers[second].Handle(x.now, &baobabstep.Packet{
			Kind: baobabstep.KindProbe, Flow: c.key, Route: baobabstep.Route{Purpose: baobabstep.PurposeForget},
		}, &baobabstep.Outbox{})
		x.setViews(x.alive())
		qt.Assert(t, x.sendData(x.open(n), "hello", 0), qt.IsTrue)
		x.routers[paused], x.dead[paused] = router, false
		router.SetPaused(x.now, true)
		router.SetPaused(x.now, false)
		x.setViews(all)
		for i := range 3 {
			qt.Assert(t, x.sendData(c, fmt.Sprint("again ", i), paused), qt.IsTrue)
		}
		x.advance(15 * time.Second)
		qt.Assert(t, x.sendData(c, "later", paused), qt.IsTrue)
		qt.Assert(t, c.bound, qt.Equals, targets[1].ID)
	}
}
