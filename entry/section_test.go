package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// restart replaces a VM by a new one that holds an incomplete list of targets.
func (f *dataCentreFleet) restart(vm int, list []baobabstep.Registration) {
	f.t.Helper()
	n := f.newNode(vm)
	f.nodes[vm] = n
	qt.Assert(f.t, n.cache.addIncompleteTargets(f.now, list), qt.IsNil)
}

// runUntilEqual advances time in steps of 100 ms until no VM is outdated, or the given number
// of steps has passed.
func (f *dataCentreFleet) runUntilEqual(steps int) {
	for elapsed := 0; elapsed < steps && f.outdatedVMs() > 0; elapsed++ {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, n := range f.nodes {
			n.tickHeartbeats(f.now)
			n.cache.flushSections(f.now)
		}
		f.deliver()
	}
}

// Guards against VMs that start with incomplete targets and do not complete them from peers,
// also under datagram loss, or that transfer the whole list in pieces.
func TestStartFromSections(t *testing.T) {
	const targets = 2000
	all := benchRegistrations(targets)
	for _, c := range []struct {
		name         string
		vms, started int
		loss         float64
	}{
		{"one of 40", 40, 1, 0},
		{"half of 40", 40, 20, 0},
		{"all but one of 40", 40, 39, 0},
		{"over lossy links", 20, 5, 0.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newDataCentreFleet(t, c.vms, targets)
			f.now = f.now.Add(time.Second)
			rng := rand.New(rand.NewPCG(7, 8))
			f.drop = func(modelMessage) bool { return rng.Float64() < c.loss }
			for vm := c.vms - c.started; vm < c.vms; vm++ {
				first := rng.IntN(targets - 100)
				f.restart(vm, all[first:first+100])
			}
			qt.Assert(t, f.outdatedVMs(), qt.Equals, c.started)
			f.runUntilEqual(100)
			qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
			qt.Assert(t, f.kinds["piece"], qt.Equals, 0)
			for vm := c.vms - c.started; vm < c.vms; vm++ {
				qt.Assert(t, f.nodes[vm].router.Stats().Targets, qt.Equals, targets)
			}
		})
	}
}

// Guards against a VM that announces targets while they are incomplete.
func TestIncompleteTargetsNotAnnounced(t *testing.T) {
	f := newDataCentreFleet(t, 5, 100)
	f.restart(4, benchRegistrations(100)[:10])
	n := f.nodes[4]
	qt.Assert(t, n.ownState(f.now).Versions[heartbeat.Targets].Number, qt.Equals, uint64(0))
	_, incomplete := n.cache.incompleteTargets()
	qt.Assert(t, incomplete, qt.IsTrue)
	qt.Assert(t, n.router.Stats().Targets, qt.Equals, 10)
}

// Guards against stale content from peers that counts as confirmed and overdue, so that each
// receiver reads the store at once.
func TestStaleTargetsFromPeersStayUnconfirmed(t *testing.T) {
	f := newDataCentreFleet(t, 5, 100)
	f.restart(4, benchRegistrations(100)[:10])
	for _, n := range f.nodes[:4] {
		n.cache.states[heartbeat.Targets].confirmedAt = f.now.Add(-time.Hour)
	}
	f.runUntilEqual(50)
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
	qt.Assert(t, f.nodes[4].cache.state(heartbeat.Targets).unconfirmed, qt.IsTrue)
}

// Guards against fleets in which all VMs read all targets at the same time after a common
// start.
func TestFullReadDelay(t *testing.T) {
	n := newQuietNode(new(countingMessages))
	early := 0
	for i := range 1000 {
		n.syncer.expSpread = exponentialSpread(float64(i) / 1000)
		delay := n.syncer.fullReadDelay()
		qt.Assert(t, delay >= 0 && delay <= 8*time.Second, qt.IsTrue)
		if delay < 4*time.Second {
			early++
		}
	}
	qt.Assert(t, early > 10 && early < 100, qt.IsTrue, qt.Commentf("%d of 1000 in the first half", early))
	n.syncer.expSpread = 0.9
	slow := n.syncer.fullReadDelay()
	n.options.Settings.Token.LinkMbps = 200
	qt.Assert(t, n.syncer.fullReadDelay() < slow/4, qt.IsTrue)
}

// Guards against targets that reappear because a section is applied after newer registrations.
func TestSectionBeforeNewerRegistrations(t *testing.T) {
	all := benchRegistrations(100)
	sender := newDataCentreFleet(t, 2, 100).nodes[0]
	for _, change := range []string{"read", "change"} {
		t.Run(change, func(t *testing.T) {
			n := newQuietNode(new(countingMessages))
			_, _, err := n.cache.updateTargets(benchEpoch, all[:90], baobabstep.Revision{Number: 1}, origin{source: sourceStore})
			qt.Assert(t, err, qt.IsNil)
			sections, _ := sender.cache.differingSections(benchEpoch, baobabstep.Revision{}, n.cache.digests(), 1, time.Second)
			for _, s := range sections {
				s.VersionInfo = heartbeat.MakeVersionInfo(baobabstep.Revision{Number: 2}, s.VersionInfo.Checksum+1, 0) // never complete
				_, _, err := n.cache.applySection(benchEpoch, s, origin{source: sourcePeer})
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, n.cache.targets.Len(), qt.Equals, 100)
			newer := baobabstep.Revision{Number: 3}
			if change == "read" {
				_, _, err = n.cache.updateTargets(benchEpoch, all[:90], newer, origin{source: sourceStore})
			} else {
				_, _, err = n.cache.applyTargetChanges(benchEpoch, []baobabstep.RegistrationChange{{Registration: all[95], Removed: true, Revision: newer}}, newer)
			}
			qt.Assert(t, err, qt.IsNil)
			n.cache.flushSections(benchEpoch)
			want := n.cache.targets.Len()
			if change == "change" {
				want++ // kept for its flows
			}
			qt.Assert(t, n.router.Stats().Targets, qt.Equals, want)
		})
	}
}

// Guards against sections of registrations that the store no longer holds after a restore, or that
// are too old.
func TestPinnedTargetsAreReplaced(t *testing.T) {
	const maxAge = time.Second
	n := newDataCentreFleet(t, 2, 20).nodes[0]
	list := benchRegistrations(20)
	revisionSent := func(now time.Time) baobabstep.Revision {
		sections, _ := n.cache.differingSections(now, baobabstep.Revision{}, nil, 1, maxAge)
		return sections[0].VersionInfo.Revision()
	}
	qt.Assert(t, revisionSent(benchEpoch).Number, qt.Equals, uint64(1))
	for _, c := range []struct {
		name       string
		after      time.Duration
		held, want baobabstep.Revision
	}{
		{"kept", maxAge / 2, baobabstep.Revision{Number: 2}, baobabstep.Revision{Number: 1}},
		{"too old", maxAge, baobabstep.Revision{Number: 3}, baobabstep.Revision{Number: 3}},
		{"restored", maxAge, baobabstep.Revision{Era: 1, Number: 1}, baobabstep.Revision{Era: 1, Number: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			list[0].Slots++
			_, _, err := n.cache.updateTargets(benchEpoch, list, c.held, origin{source: sourceStore, confirmedAt: benchEpoch})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, revisionSent(benchEpoch.Add(c.after)), qt.Equals, c.want)
		})
	}
}
