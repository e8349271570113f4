package flow_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/flow"
)

func TestUnknownPolicy(t *testing.T) {
	_, err := flow.NewPolicy(time.Time{}, "round_robin", flow.Options{})
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeSettings)
}

// result holds the measurements of one policy.
type result struct {
	flows, broken int
	hops          float64
	records       int
}

// runScenario opens flows, and replaces targets and VMs one after the other
// while callers use their flows. Half of the VMs receive each configuration
// late.
func runScenario(t *testing.T, policy string) result {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 15, policy: policy})
	x.allowSplit = true
	var flows []*fakeCaller
	open := func(n int) {
		for range n {
			flows = append(flows, x.sendOpen(len(flows), 0))
		}
	}
	open(300)
	for step := range 6 {
		x.setConfigLate(x.nextConfig(func(c *baobabstep.Config) {
			s := &c.Services[0]
			tg := s.Targets[0]
			tg.Name = fmt.Sprint("new", step)
			tg.ID = baobabstep.MakeTargetID(tg.Name)
			tg.Address = x.freshAddress()
			s.Targets = append(without(s.Targets, 0), tg)
		}))
		x.sendDataOnAll(flows)
		x.setConfig(x.config)
		x.addVM(9+step, 3)
		x.kill(x.alive()[step].ID)
		x.setViews(x.alive())
		x.sendDataOnAll(flows)
		x.advance(10 * time.Second)
		open(50)
	}
	r := result{flows: len(flows)}
	for _, c := range flows {
		if !x.sendData(c, "last", 0) {
			r.broken++
		}
	}
	for _, router := range x.routers {
		if router != nil {
			r.records += router.Stats().Flows["established"]
		}
	}
	r.hops = float64(x.sent[baobabstep.DestVM]) / float64(x.sent[baobabstep.DestTarget]+x.sent[baobabstep.DestCaller])
	return r
}

// Targets and VMs are replaced while callers use their flows. The replicated
// policy must break no flow; the baselines break those whose packets reach a
// VM without their state.
func TestPolicyComparison(t *testing.T) {
	t.Parallel()
	results := map[string]result{}
	for _, policy := range []string{flow.PolicyReplicated, flow.PolicySlotTable, flow.PolicyHashTable} {
		r := runScenario(t, policy)
		results[policy] = r
		t.Logf("%-10s %d of %d flows broken, %.2f packets between VMs per packet to an end, %.2f records a flow",
			policy, r.broken, r.flows, r.hops, float64(r.records)/float64(r.flows))
	}
	qt.Assert(t, results[flow.PolicyReplicated].broken, qt.Equals, 0)
	qt.Assert(t, results[flow.PolicySlotTable].broken > 0, qt.IsTrue)
	qt.Assert(t, results[flow.PolicyHashTable].broken > 0, qt.IsTrue)
}
