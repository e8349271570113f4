package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
)

// outageFleet are two VMs with four targets. The first one reads the store, the second one may not
// be able to.
type outageFleet struct {
	*dataCentreFleet
	reader, other *Node
	targets       []baobabstep.Registration
	revision      uint64
}

func newOutageFleet(t testing.TB) *outageFleet {
	f := &outageFleet{dataCentreFleet: newDataCentreFleet(t, 2, 0), targets: benchRegistrations(4), revision: 1}
	for i := range f.targets {
		f.targets[i].DataCentre = "dc-0"
	}
	f.reader, f.other = f.nodes[0], f.nodes[1]
	f.other.router.SetTable(f.now, testTable())
	f.put(0, f.targets)
	return f
}

// put replaces the registrations after some time, and tells the other VM.
func (f *outageFleet) put(after time.Duration, list []baobabstep.Registration) {
	f.t.Helper()
	f.now = f.now.Add(after)
	f.revision++
	_, change, err := f.reader.cache.updateTargets(f.now, list, baobabstep.Revision{Number: f.revision}, origin{source: sourceStore, confirmedAt: f.now})
	qt.Assert(f.t, err, qt.IsNil)
	f.other.handleChange(f.now, peerAddress(0), change)
	qt.Assert(f.t, f.other.cache.state(heartbeat.Targets).revision.Number, qt.Equals, f.revision)
}

// fail makes a read of the other VM fail.
func (f *outageFleet) fail() {
	f.other.syncer.recordStoreStatus(f.other.syncer.targetsQuery(), baobabstep.Errorf(baobabstep.CodePlatformUnavailable, "test", "turned away"))
}

// serves reports whether the other VM places new flows at a target.
func (f *outageFleet) serves(target int) bool {
	return getsNewFlows(f.other, f.now, f.targets[target].ID)
}

// Guards against new flows to a target that is gone, long after an outage. The registrations had
// stayed the same in it, so the VM read nothing and learned from heartbeats alone that it was over;
// the next change, whenever it came, counted as the first one after the outage.
func TestOutageEndsWithoutChange(t *testing.T) {
	for _, test := range []struct {
		name string
		// confirmed is when the other VM last read the same registrations, counted from the
		// failed read; wait is the time from the heartbeat that says so to the removal.
		confirmed, wait time.Duration
		grace           bool
	}{
		{"removal long after the outage", time.Second, 10 * time.Second, false},
		{"removal soon after the outage", time.Second, token.ReregistrationGrace / 2, true},
		{"not read since the outage", -time.Second, 10 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newOutageFleet(t)
			f.now = f.now.Add(5 * time.Second)
			f.fail()
			held := f.reader.cache.state(heartbeat.Targets)
			held.confirmedAt = f.now.Add(test.confirmed)
			f.now = f.now.Add(2 * time.Second)
			f.other.compareHeld(f.now, heartbeat.Targets, &heartbeat.Heartbeat{Versions: [2]heartbeat.VersionInfo{heartbeat.Targets: held.announced(f.now)}})
			f.put(test.wait, f.targets[1:])
			qt.Assert(t, f.serves(0), qt.Equals, test.grace)
		})
	}
}

// getsNewFlows reports whether a VM places some of 100 new flows at a target.
func getsNewFlows(n *Node, now time.Time, id baobabstep.TargetID) bool {
	first := int(now.Sub(benchEpoch)/time.Second) * 100
	for port := range 100 {
		var out []baobabstep.OutgoingDatagram
		n.router.Handle(now, &baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: peerAddress(first + port), Service: benchService}}, &out)
		if len(out) > 0 && out[0].Target == id {
			return true
		}
	}
	return false
}

// Guards against new flows to targets that are gone, through a VM that the store turns away while
// another VM reads it: every change of the other began a new grace period for missing targets.
func TestGraceAfterOutageIsGivenOnce(t *testing.T) {
	f := newOutageFleet(t)
	f.fail()
	f.put(4*time.Second, f.targets[1:])
	qt.Check(t, f.serves(0), qt.IsTrue, qt.Commentf("it may have lapsed while the store was down"))
	f.put(10*time.Second, f.targets[2:])
	qt.Check(t, f.serves(1), qt.IsFalse)
	f.fail()
	f.put(10*time.Second, f.targets[3:])
	qt.Check(t, f.serves(2), qt.IsTrue, qt.Commentf("another outage"))
}

// Guards against new flows to a target that is gone, through a VM whose single read failed while others read
// the store: no live target can have lapsed between two reads so close.
func TestSingleFailedReadIsNoOutage(t *testing.T) {
	const outage = 2 * time.Second // by the default interval of the targets' reports
	for _, test := range []struct {
		name  string
		after time.Duration
		grace bool
	}{
		{"read soon by another VM", outage - time.Millisecond, false},
		{"not read by any VM for longer", outage, true},
	} {
		t.Run(test.name+", a removal", func(t *testing.T) {
			f := newOutageFleet(t)
			f.fail()
			f.put(test.after, f.targets[1:])
			qt.Check(t, f.serves(0), qt.Equals, test.grace)
		})
		t.Run(test.name+", no change", func(t *testing.T) {
			f := newOutageFleet(t)
			f.fail()
			held := f.reader.cache.state(heartbeat.Targets)
			f.now = f.now.Add(test.after)
			held.confirmedAt, held.read = f.now, 77
			f.other.compareHeld(f.now, heartbeat.Targets, &heartbeat.Heartbeat{Versions: [2]heartbeat.VersionInfo{heartbeat.Targets: held.announced(f.now)}})
			f.put(time.Second, f.targets[1:])
			qt.Check(t, f.serves(0), qt.Equals, test.grace)
		})
	}
}
