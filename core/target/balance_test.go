package target

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// estate is a few registries over one service whose flows open and close at
// random. Each second each registry probes what it has to, and each half
// second it tells its news to three of the others, as a VM does.
type estate struct {
	t       testing.TB
	now     time.Time
	rand    *rand.Rand
	service baobabstep.Service
	vms     []*Registry
	// count is the true number of flows of each target; lag is what its
	// reports say, half a second behind.
	count, lag map[baobabstep.TargetID]int
	flows      []openFlow
	opened     map[baobabstep.TargetID]int
	refused    int
	newsBytes  int
}

type openFlow struct {
	vm     int
	target baobabstep.TargetID
}

func newEstate(t testing.TB, vms, targets, connections int) *estate {
	s := &estate{
		t: t, now: epoch, rand: rand.New(rand.NewPCG(3, 3)),
		service: testService(targets, "braga-a", "braga-b", "guimaraes"),
		count:   make(map[baobabstep.TargetID]int), lag: make(map[baobabstep.TargetID]int),
		opened: make(map[baobabstep.TargetID]int),
	}
	for i := range s.service.Targets {
		s.service.Targets[i].Connections = connections
	}
	for i := range vms {
		r := newRegistry(t, i)
		r.SetConfig(s.now, testConfig(s.service))
		r.SetView(s.now, testView(vms, "braga-a", "braga-b", "guimaraes"))
		s.vms = append(s.vms, r)
	}
	return s
}

// run lets time pass with a mean number of opens a second; each flow lasts
// life in the mean.
func (s *estate) run(length time.Duration, opens float64, life time.Duration) {
	const step = 500 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		s.probe()
		s.gossip()
		for range poisson(s.rand, float64(len(s.flows))*step.Seconds()/life.Seconds()) {
			s.close()
		}
		for range poisson(s.rand, opens*step.Seconds()) {
			s.open()
		}
	}
}

// poisson draws from a Poisson distribution by adding exponential gaps.
func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for sum := r.ExpFloat64(); sum < mean; sum += r.ExpFloat64() {
		n++
	}
	return n
}

func (s *estate) open() {
	vm := s.rand.IntN(len(s.vms))
	near := []string{"braga-a", "braga-b", "guimaraes"}[vm%3]
	id, code := s.vms[vm].PickFlow(s.now, &s.service, near, s.rand.Uint64())
	if code != baobabstep.CodeOK {
		s.refused++
		return
	}
	s.count[id]++
	s.opened[id]++
	s.flows = append(s.flows, openFlow{vm, id})
}

func (s *estate) close() {
	i := s.rand.IntN(len(s.flows))
	f := s.flows[i]
	s.flows[i] = s.flows[len(s.flows)-1]
	s.flows = s.flows[:len(s.flows)-1]
	s.count[f.target]--
	s.vms[f.vm].FlowClosed(s.now, f.target)
}

func (s *estate) probe() {
	for _, r := range s.vms {
		for _, id := range r.ProbeTargets(s.now) {
			r.Report(s.now, id, baobabstep.TargetReport{Healthy: true, Connections: uint32(s.lag[id])})
		}
	}
	for id, n := range s.count {
		s.lag[id] = n
	}
}

func (s *estate) gossip() {
	for i, r := range s.vms {
		body := r.News(s.now, 1200)
		if body == nil {
			continue
		}
		told := 0
		for _, j := range s.rand.Perm(len(s.vms)) {
			if j == i || told == 3 {
				continue
			}
			told++
			s.newsBytes += len(body)
			learn(s.t, s.vms[j], s.now, vmID(i), body)
		}
	}
}

// imbalance is how far the fullest target is above the mean.
func (s *estate) imbalance() float64 {
	most, sum := 0, 0
	for _, t := range s.service.Targets {
		most = max(most, s.count[t.ID])
		sum += s.count[t.ID]
	}
	return float64(most)*float64(len(s.service.Targets))/float64(sum) - 1
}

func (s *estate) drain(id baobabstep.TargetID, on bool) {
	for _, r := range s.vms {
		r.Leaving(s.now, id, SourcePlatform, on)
	}
}

// Flows last for long and do not move. A host is drained until it is empty and
// then returns. It gets more than its share of new flows, but no more than the
// bound of the choice, and the imbalance that its absence left comes down in
// less than the life of a flow. The counts that the choice is made by lag.
func TestImbalanceAfterADrainComesDownWithoutAHerd(t *testing.T) {
	const (
		life  = 300 * time.Second
		opens = 25.0
	)
	s := newEstate(t, 9, 15, 1000)
	s.run(4*life, opens, life)
	steady := s.imbalance()
	first := s.service.Targets[0].ID
	s.drain(first, true)
	s.run(6*life, opens, life)
	drained := s.imbalance()
	s.drain(first, false)
	t.Logf("steady %.3f, drained %.3f, news %d bytes/s a VM", steady, drained, s.newsBytes/int(s.now.Sub(epoch).Seconds())/9)
	for part := range 10 {
		clear(s.opened)
		s.run(life/10, opens, life)
		share := float64(s.opened[first]) / (opens * (life / 10).Seconds())
		qt.Assert(t, share*15 < 4.5, qt.IsTrue)
		t.Logf("after %.1f lives: imbalance %.3f, returned host has %.2f of the mean and got %.2f of its even share",
			float64(part+1)/10, s.imbalance(), float64(s.count[first])*15/float64(len(s.flows)), share*15)
		if part >= 4 {
			qt.Assert(t, s.imbalance() < 0.05, qt.IsTrue)
		}
	}
	qt.Assert(t, steady < 0.05, qt.IsTrue)
	qt.Assert(t, s.refused, qt.Equals, 0)
}

// As above, but flows last two seconds, which is no longer than what the VMs
// know of each other is old. The returned host must not swing between all and
// nothing.
func TestShortFlowsDoNotSwing(t *testing.T) {
	const (
		life  = 2 * time.Second
		opens = 2000.0
	)
	s := newEstate(t, 9, 15, 1000)
	s.run(20*life, opens, life)
	first := s.service.Targets[0].ID
	s.drain(first, true)
	s.run(10*life, opens, life)
	s.drain(first, false)
	most := 0.0
	for range 30 {
		s.run(life/2, opens, life)
		most = max(most, float64(s.count[first])*15/float64(len(s.flows)))
	}
	qt.Assert(t, most < 1.3, qt.IsTrue, qt.Commentf("got %.2f of the mean", most))
	qt.Assert(t, s.refused, qt.Equals, 0)
}
