package targets

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"baobabstep/standin/control"
)

const sampleInterval = 100 * time.Millisecond

// Stats is what the targets saw.
type Stats struct {
	RequestsRun            int            `json:"requests_run"`
	NonIdempotentRunTwice  int            `json:"non_idempotent_run_twice"`
	ChangedRequests        int            `json:"changed_requests"`
	NewWorkOnLeavingTarget int            `json:"new_work_on_leaving_target"`
	RefusedAsForeign       int            `json:"refused_as_foreign"`
	ConnectionImbalance    float64        `json:"connection_imbalance"`
	SlotImbalance          float64        `json:"slot_imbalance"`
	ConnectionsPeakShare   float64        `json:"connections_peak_share"`
	Flows                  int            `json:"flows"`
	LateWork               []LateWork     `json:"late_work"`
	FlowsByTarget          map[string]int `json:"flows_by_target"`
}

// LateWork is one piece of new work that came too long after its target began
// to leave, and the VM that sent it.
type LateWork struct {
	Target  string         `json:"target"`
	Kind    string         `json:"kind"`
	From    netip.AddrPort `json:"from"`
	AfterMS int64          `json:"after_ms"`
}

// balance sums up the samples of one service.
type balance struct {
	connections, slots imbalance
}

// imbalance is the mean over samples of largest over mean used share, less 1.
type imbalance struct {
	sum     float64
	samples int
	peak    float64
}

func (i *imbalance) add(shares []float64) {
	total, largest := 0.0, 0.0
	for _, s := range shares {
		total += s
		largest = max(largest, s)
	}
	i.peak = max(i.peak, largest)
	if total == 0 {
		return
	}
	i.sum += largest/(total/float64(len(shares))) - 1
	i.samples++
}

func (i *imbalance) mean() float64 {
	if i.samples == 0 {
		return 0
	}
	return i.sum / float64(i.samples)
}

// sample measures the used shares of all targets that can take work.
func (p *Process) sample() {
	connections, slots := map[string][]float64{}, map[string][]float64{}
	for _, t := range p.targets {
		t.lock.Lock()
		service := t.settings.Service
		if t.socket != nil && t.leaving.IsZero() {
			connections[service] = append(connections[service], float64(len(t.flows))/float64(max(1, t.settings.Connections)))
			slots[service] = append(slots[service], float64(len(t.running))/float64(max(1, t.settings.Slots)))
		}
		t.lock.Unlock()
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	for service := range connections {
		b := p.balance[service]
		if b == nil {
			b = new(balance)
			p.balance[service] = b
		}
		b.connections.add(connections[service])
		b.slots.add(slots[service])
	}
}

// Stats returns the counts so far; the imbalances are those of the worst service.
func (p *Process) Stats() Stats {
	s := Stats{FlowsByTarget: make(map[string]int)}
	for _, t := range p.targets {
		t.lock.Lock()
		s.Flows += len(t.flows)
		s.FlowsByTarget[t.settings.Name] = len(t.flows)
		t.lock.Unlock()
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	s.LateWork = slices.Clone(p.wrong.lateWork)
	s.NewWorkOnLeavingTarget = len(s.LateWork)
	s.RefusedAsForeign = p.wrong.misrouted
	s.ChangedRequests = p.wrong.changedRequests
	for _, r := range p.ran {
		s.RequestsRun += r.count
		if r.count > 1 && !r.idempotent {
			s.NonIdempotentRunTwice++
		}
	}
	for _, b := range p.balance {
		s.ConnectionImbalance = max(s.ConnectionImbalance, b.connections.mean())
		s.SlotImbalance = max(s.SlotImbalance, b.slots.mean())
		s.ConnectionsPeakShare = max(s.ConnectionsPeakShare, b.connections.peak)
	}
	return s
}

// Handler serves the control interface. POST /ran takes numbers of requests and returns
// those that ran.
func (p *Process) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", control.JSON(func(struct{}) (any, error) { return p.Stats(), nil }))
	mux.HandleFunc("POST /fault", control.JSON(func(f Fault) (any, error) { return struct{}{}, p.Apply(f) }))
	mux.HandleFunc("POST /ran", control.JSON(func(numbers []uint64) (any, error) { return p.Ran(numbers), nil }))
	return mux
}
