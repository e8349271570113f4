package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// A VM that joins after all leaving updates were sent has not probed the
// draining target yet and would send it new work. The next gossip has to tell
// it.
func TestJoinedVMLearnsLeavingTargets(t *testing.T) {
	s := testService(300, dataCentre)
	a := newRegistry(t, 0)
	a.SetConfig(epoch, testConfig(s))
	a.SetView(epoch, testView(3, dataCentre))
	leaving := s.Targets[0].ID
	a.SetLeaving(epoch, leaving, SourceTarget, true)
	for range leavingSends {
		a.EncodeGossip(epoch, 1000)
	}

	joined := newRegistry(t, 3)
	joined.SetConfig(epoch, testConfig(s))
	a.SetView(epoch, testView(4, dataCentre))
	joined.SetView(epoch, testView(4, dataCentre))
	news := a.EncodeGossip(epoch, 1000)
	qt.Assert(t, news, qt.IsNotNil)
	handleGossip(t, joined, epoch, vmID(0), news)
	for _, state := range joined.States(epoch) {
		qt.Assert(t, state.Usable, qt.Equals, state.Target != leaving)
	}
	qt.Assert(t, pickable(joined, epoch, &s)[leaving], qt.Equals, 0)
}

// newPair returns a member, the first VM, and a joining VM with the same
// configuration.
func newPair(t *testing.T, s *baobabstep.Service, joiner int) (member, joining *Registry) {
	t.Helper()
	member, joining = newRegistry(t, 0), newRegistry(t, joiner)
	member.SetConfig(epoch, testConfig(*s))
	joining.SetConfig(epoch, testConfig(*s))
	return member, joining
}

// A VM that joins after the leaving updates were sent had a request 180 ms
// later, before the next gossip (500 ms), and sent it to a draining target. A
// joining VM therefore queries a member for all leaving targets before it takes
// any role.
func TestJoiningVMQueriesLeavingTargets(t *testing.T) {
	s := testService(300, dataCentre)
	member, joining := newPair(t, &s, 3)
	member.SetView(epoch, testView(3, dataCentre))
	joining.SetView(epoch, testView(3, dataCentre))
	leaving, returned := s.Targets[0].ID, s.Targets[1].ID
	member.SetLeaving(epoch, leaving, SourceTarget, true)
	member.SetLeaving(epoch, returned, SourcePlatform, true)
	member.SetLeaving(epoch, returned, SourcePlatform, false)
	for range leavingSends {
		member.EncodeGossip(epoch, 1000)
	}
	qt.Assert(t, joining.QueryAnsweredAt().IsZero(), qt.IsTrue)

	answer, err := member.HandleGossip(epoch, vmID(3), joining.EncodeQuery())
	qt.Assert(t, err, qt.IsNil)
	now := epoch.Add(time.Second)
	reply, err := joining.HandleGossip(now, vmID(0), answer)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reply, qt.IsNil)
	qt.Check(t, joining.QueryAnsweredAt(), qt.Equals, now)
	for _, state := range joining.States(now) {
		qt.Check(t, state.Usable, qt.Equals, state.Target != leaving)
	}
	qt.Check(t, pickable(joining, now, &s)[leaving], qt.Equals, 0)
}

// A restarted VM asks while the member still knows a higher incarnation of its
// name. Gossip of a lower incarnation is dropped, but the query has to be
// answered; an empty answer means that nothing is leaving.
func TestRestartedVMQueryIsAnswered(t *testing.T) {
	s := testService(10, dataCentre)
	member, joining := newPair(t, &s, 1)
	predecessor := gossipMessage{Epoch: 9}
	encoded, err := cbor.Marshal(&predecessor)
	qt.Assert(t, err, qt.IsNil)
	_, err = member.HandleGossip(epoch, vmID(1), encoded)
	qt.Assert(t, err, qt.IsNil)
	answer, err := member.HandleGossip(epoch, vmID(1), joining.EncodeQuery())
	qt.Assert(t, err, qt.IsNil)
	_, err = joining.HandleGossip(epoch.Add(time.Second), vmID(0), answer)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, joining.QueryAnsweredAt().IsZero(), qt.IsFalse)
}

// With more leaving targets than fit into one message, the answer stays within
// the size that receivers accept.
func TestLeavingAnswerFitsMessageLimit(t *testing.T) {
	s := testService(4000, dataCentre)
	member, joining := newPair(t, &s, 1)
	for i := range s.Targets {
		member.SetLeaving(epoch, s.Targets[i].ID, SourceTarget, true)
	}
	answer, err := member.HandleGossip(epoch, vmID(1), joining.EncodeQuery())
	qt.Assert(t, err, qt.IsNil)
	_, err = joining.HandleGossip(epoch, vmID(0), answer)
	qt.Assert(t, err, qt.IsNil)
	known := 0
	for _, state := range joining.States(epoch) {
		if !state.Usable {
			known++
		}
	}
	qt.Check(t, known, qt.Equals, (maxGossipBytes-gossipHeaderBytes)/leavingUpdateBytes)
}
