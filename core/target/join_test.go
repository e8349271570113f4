package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// A target drains, all VMs hear of it, and the updates stop. Seconds later a VM
// joins, becomes dispatcher, and would hand new work to the draining target: it
// has not probed it yet. The next news after the join has to tell it.
func TestJoinedVMHearsOfLeavingTargets(t *testing.T) {
	s := testService(300, dataCentre)
	a := newRegistry(t, 0)
	a.SetConfig(epoch, testConfig(s))
	a.SetView(epoch, testView(3, dataCentre))
	leaving := s.Targets[0].ID
	a.Leaving(epoch, leaving, SourceTarget, true)
	for range updateSpread {
		a.News(epoch, 1000)
	}

	joined := newRegistry(t, 3)
	joined.SetConfig(epoch, testConfig(s))
	a.SetView(epoch, testView(4, dataCentre))
	joined.SetView(epoch, testView(4, dataCentre))
	news := a.News(epoch, 1000)
	qt.Assert(t, news, qt.IsNotNil)
	learn(t, joined, epoch, vmID(0), news)
	for _, state := range joined.Table(epoch) {
		qt.Assert(t, state.Usable, qt.Equals, state.Target != leaving)
	}
	qt.Assert(t, pickable(joined, epoch, &s)[leaving], qt.Equals, 0)
}

// newPair returns the first VM, a member, and another one that joins, with one
// configuration.
func newPair(t *testing.T, s *baobabstep.Service, joiner int) (member, joining *Registry) {
	t.Helper()
	member, joining = newRegistry(t, 0), newRegistry(t, joiner)
	member.SetConfig(epoch, testConfig(*s))
	joining.SetConfig(epoch, testConfig(*s))
	return member, joining
}

// A target drains and its updates have run out. Seconds later a VM joins and has
// a request of its own 180 ms afterwards, before the next round of news (500 ms)
// reaches it: it gives it to the draining target. So a VM asks a member for all
// that is leaving before it takes roles, and knows it from its first request on.
func TestJoiningVMAsksWhatIsLeaving(t *testing.T) {
	s := testService(300, dataCentre)
	member, joining := newPair(t, &s, 3)
	member.SetView(epoch, testView(3, dataCentre))
	joining.SetView(epoch, testView(3, dataCentre))
	leaving, returned := s.Targets[0].ID, s.Targets[1].ID
	member.Leaving(epoch, leaving, SourceTarget, true)
	member.Leaving(epoch, returned, SourcePlatform, true)
	member.Leaving(epoch, returned, SourcePlatform, false)
	for range updateSpread {
		member.News(epoch, 1000)
	}
	qt.Assert(t, joining.AnsweredAt().IsZero(), qt.IsTrue)

	answer, err := member.Learn(epoch, vmID(3), joining.Ask())
	qt.Assert(t, err, qt.IsNil)
	now := epoch.Add(time.Second)
	reply, err := joining.Learn(now, vmID(0), answer)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reply, qt.IsNil)
	qt.Check(t, joining.AnsweredAt(), qt.Equals, now)
	for _, state := range joining.Table(now) {
		qt.Check(t, state.Usable, qt.Equals, state.Target != leaving)
	}
	qt.Check(t, pickable(joining, now, &s)[leaving], qt.Equals, 0)
}

// A VM stands still, starts again under its name and asks while the member still
// knows the higher incarnation of its predecessor: news with a lower one are
// late and dropped, but the question has to be answered. An empty answer counts:
// nothing is leaving.
func TestQuestionOfARestartedVMIsAnswered(t *testing.T) {
	s := testService(10, dataCentre)
	member, joining := newPair(t, &s, 1)
	predecessor := newsBody{Epoch: 9}
	b, err := cbor.Marshal(&predecessor)
	qt.Assert(t, err, qt.IsNil)
	_, err = member.Learn(epoch, vmID(1), b)
	qt.Assert(t, err, qt.IsNil)
	answer, err := member.Learn(epoch, vmID(1), joining.Ask())
	qt.Assert(t, err, qt.IsNil)
	_, err = joining.Learn(epoch.Add(time.Second), vmID(0), answer)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, joining.AnsweredAt().IsZero(), qt.IsFalse)
}

// More targets leave than fit one message: the answer stays within the size
// that Learn takes.
func TestAnswerStaysWithinTheSizeOfNews(t *testing.T) {
	s := testService(4000, dataCentre)
	member, joining := newPair(t, &s, 1)
	for i := range s.Targets {
		member.Leaving(epoch, s.Targets[i].ID, SourceTarget, true)
	}
	answer, err := member.Learn(epoch, vmID(1), joining.Ask())
	qt.Assert(t, err, qt.IsNil)
	_, err = joining.Learn(epoch, vmID(0), answer)
	qt.Assert(t, err, qt.IsNil)
	known := 0
	for _, state := range joining.Table(epoch) {
		if !state.Usable {
			known++
		}
	}
	qt.Check(t, known, qt.Equals, (maxNewsSize-newsHeader)/leaveBytes)
}
