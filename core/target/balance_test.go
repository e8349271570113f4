package target

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// simulation runs several registries over one service whose flows open and
// close at random. Every half second each registry sends its due probes and
// gossips to three of the others.
type simulation struct {
	t       testing.TB
	now     time.Time
	rand    *rand.Rand
	service baobabstep.Service
	vms     []*Registry
	// flowCount is the true number of flows of each target; reportedFlows is
	// what its reports say, half a second old.
	flowCount, reportedFlows map[baobabstep.TargetID]int
	flows                    []openFlow
	opened                   map[baobabstep.TargetID]int
	refused                  int
	gossipBytes              int
}

type openFlow struct {
	vm     int
	target baobabstep.TargetID
}

func newSimulation(t testing.TB, vms, targets, connections int) *simulation {
	s := &simulation{
		t: t, now: epoch, rand: rand.New(rand.NewPCG(3, 3)),
		service:   testService(targets, "braga-a", "braga-b", "guimaraes"),
		flowCount: make(map[baobabstep.TargetID]int), reportedFlows: make(map[baobabstep.TargetID]int),
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

// run simulates a period with a mean number of opens per second and a mean flow
// lifetime.
func (s *simulation) run(length time.Duration, opens float64, lifetime time.Duration) {
	const step = 500 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		s.probe()
		s.gossip()
		for range poisson(s.rand, float64(len(s.flows))*step.Seconds()/lifetime.Seconds()) {
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

func (s *simulation) open() {
	vm := s.rand.IntN(len(s.vms))
	near := []string{"braga-a", "braga-b", "guimaraes"}[vm%3]
	id, code := s.vms[vm].PickFlow(s.now, &s.service, near, s.rand.Uint64())
	if code != baobabstep.CodeOK {
		s.refused++
		return
	}
	s.flowCount[id]++
	s.opened[id]++
	s.flows = append(s.flows, openFlow{vm, id})
}

func (s *simulation) close() {
	i := s.rand.IntN(len(s.flows))
	f := s.flows[i]
	s.flows[i] = s.flows[len(s.flows)-1]
	s.flows = s.flows[:len(s.flows)-1]
	s.flowCount[f.target]--
	s.vms[f.vm].FlowClosed(s.now, f.target)
}

func (s *simulation) probe() {
	for _, r := range s.vms {
		for _, id := range r.ProbeTargets(s.now) {
			r.RecordReport(s.now, id, baobabstep.TargetReport{Healthy: true, Connections: uint32(s.reportedFlows[id])})
		}
	}
	for id, n := range s.flowCount {
		s.reportedFlows[id] = n
	}
}

func (s *simulation) gossip() {
	for i, r := range s.vms {
		body := r.EncodeGossip(s.now, 1200)
		if body == nil {
			continue
		}
		sent := 0
		for _, j := range s.rand.Perm(len(s.vms)) {
			if j == i || sent == 3 {
				continue
			}
			sent++
			s.gossipBytes += len(body)
			handleGossip(s.t, s.vms[j], s.now, vmID(i), body)
		}
	}
}

// imbalance is how far the most loaded target is above the mean, as a share.
func (s *simulation) imbalance() float64 {
	most, sum := 0, 0
	for _, t := range s.service.Targets {
		most = max(most, s.flowCount[t.ID])
		sum += s.flowCount[t.ID]
	}
	return float64(most)*float64(len(s.service.Targets))/float64(sum) - 1
}

func (s *simulation) drain(id baobabstep.TargetID, on bool) {
	for _, r := range s.vms {
		r.SetLeaving(s.now, id, SourcePlatform, on)
	}
}

// A drained target returns empty while flows are long and do not move. It may
// get more than its share of new flows, up to the bound of the random choice,
// although the counts lag; the imbalance has to recover within one flow
// lifetime.
func TestImbalanceAfterDrainRecoversWithoutOvershoot(t *testing.T) {
	const (
		lifetime = 300 * time.Second
		opens    = 25.0
	)
	s := newSimulation(t, 9, 15, 1000)
	s.run(4*lifetime, opens, lifetime)
	steady := s.imbalance()
	first := s.service.Targets[0].ID
	s.drain(first, true)
	s.run(6*lifetime, opens, lifetime)
	drained := s.imbalance()
	s.drain(first, false)
	t.Logf("steady %.3f, drained %.3f, gossip %d bytes/s per VM", steady, drained, s.gossipBytes/int(s.now.Sub(epoch).Seconds())/9)
	for part := range 10 {
		clear(s.opened)
		s.run(lifetime/10, opens, lifetime)
		share := float64(s.opened[first]) / (opens * (lifetime / 10).Seconds())
		qt.Assert(t, share*15 < 4.5, qt.IsTrue)
		t.Logf("after %.1f lifetimes: imbalance %.3f, returned host has %.2f of the mean and got %.2f of its even share",
			float64(part+1)/10, s.imbalance(), float64(s.flowCount[first])*15/float64(len(s.flows)), share*15)
		if part >= 4 {
			qt.Assert(t, s.imbalance() < 0.05, qt.IsTrue)
		}
	}
	qt.Assert(t, steady < 0.05, qt.IsTrue)
	qt.Assert(t, s.refused, qt.Equals, 0)
}

// Flows last two seconds, no longer than the VMs' counts of each other are old.
// A returned target must not oscillate between all flows and none.
func TestShortFlowsDoNotOscillate(t *testing.T) {
	const (
		lifetime = 2 * time.Second
		opens    = 2000.0
	)
	s := newSimulation(t, 9, 15, 1000)
	s.run(20*lifetime, opens, lifetime)
	first := s.service.Targets[0].ID
	s.drain(first, true)
	s.run(10*lifetime, opens, lifetime)
	s.drain(first, false)
	most := 0.0
	for range 30 {
		s.run(lifetime/2, opens, lifetime)
		most = max(most, float64(s.flowCount[first])*15/float64(len(s.flows)))
	}
	qt.Assert(t, most < 1.3, qt.IsTrue, qt.Commentf("got %.2f of the mean", most))
	qt.Assert(t, s.refused, qt.Equals, 0)
}
