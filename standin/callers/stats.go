package callers

import (
	"net/http"
	"slices"
	"time"

	"baobabstep"
	"baobabstep/standin/control"
)

// Counts is what the callers saw. Requests is the sum of Answered,
// RefusedNotRun, OutcomeUnknown, OrdinaryLost and those still open.
type Counts struct {
	FlowsOpened          int `json:"flows_opened"`
	FlowsBroken          int `json:"flows_broken"`
	FlowsResetExplicitly int `json:"flows_reset_explicitly"`
	FlowsNotOpened       int `json:"flows_not_opened"`
	Misrouted            int `json:"misrouted"`
	AnswersWrong         int `json:"answers_wrong"`
	Requests             int `json:"requests"`
	Answered             int `json:"answered"`
	RefusedNotRun        int `json:"refused_not_run"`
	OutcomeUnknown       int `json:"outcome_unknown"`
	OrdinaryLost         int `json:"ordinary_lost"`
	UrgentSilent         int `json:"urgent_silent"`
	Cancelled            int `json:"cancelled"`
	Pushes               int `json:"pushes"`
	Repeats              int `json:"repeats"`
	Undecodable          int `json:"undecodable"`
	// OpensRefused and Refusals count result codes by name.
	OpensRefused map[string]int `json:"opens_refused"`
	Refusals     map[string]int `json:"refusals"`
}

func newCounts() Counts {
	return Counts{OpensRefused: make(map[string]int), Refusals: make(map[string]int)}
}

// Broken is one flow that ended without its caller's will. Code is that of an
// explicit reset.
type Broken struct {
	Service string              `json:"service"`
	Target  baobabstep.TargetID `json:"target"`
	Number  uint64              `json:"number"`
	Reason  string              `json:"reason"`
	Code    baobabstep.Code     `json:"code"`
	AtMS    int64               `json:"at_ms"`
}

// Silent is one request that ended without any word. Missing is the number of
// parts of its answer that had not come; fewer than Parts means that some had.
type Silent struct {
	Service    string `json:"service"`
	Number     uint64 `json:"number"`
	Ordinary   bool   `json:"ordinary"`
	Idempotent bool   `json:"idempotent"`
	Cancelled  bool   `json:"cancelled"`
	Parts      int    `json:"parts"`
	Missing    int    `json:"missing"`
	IssuedMS   int64  `json:"issued_ms"`
	Copies     uint32 `json:"copies"`
}

// maxSilent bounds the silent requests that are listed.
const maxSilent = 100

// Stats adds what is under way and the latencies in milliseconds.
type Stats struct {
	Counts
	FlowsOpen     int     `json:"flows_open"`
	RequestsOpen  int     `json:"requests_open"`
	UrgentP50MS   float64 `json:"urgent_p50_ms"`
	UrgentP99MS   float64 `json:"urgent_p99_ms"`
	OrdinaryP50MS float64 `json:"ordinary_p50_ms"`
	OrdinaryP99MS float64 `json:"ordinary_p99_ms"`
	// Silent lists the first of the requests without any word.
	Silent []Silent `json:"silent"`
	// Done is set once a finish is complete.
	Done bool `json:"done"`
}

func (p *Process) count(change func(*Counts)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	change(&p.counts)
}

func (p *Process) countBroken(b Broken) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.FlowsBroken++
	if b.Reason == "reset" {
		p.counts.FlowsResetExplicitly++
	}
	p.broken = append(p.broken, b)
}

func (p *Process) noteSilent(r *request) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(p.silent) == maxSilent {
		return
	}
	p.silent = append(p.silent, Silent{
		Service: r.service.Name, Number: r.number, Ordinary: r.class == baobabstep.ClassOrdinary,
		Idempotent: r.idempotent, Cancelled: r.cancelled, Parts: len(r.parts), Missing: r.missing,
		IssuedMS: r.started.Milliseconds(), Copies: r.seq + 1,
	})
}

func (p *Process) countRefused(number uint64, code baobabstep.Code) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.Refusals[code.String()]++
	p.refused = append(p.refused, number)
}

func (p *Process) recordLatency(class baobabstep.Class, d time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	_ = p.latency[class].RecordValue(min(d, time.Minute).Microseconds())
}

func (p *Process) isFinishing() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.finishing
}

// Finish starts no more work; each open flow is checked once more and closed.
func (p *Process) Finish() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.finishing = true
}

// Stats returns the present counts.
func (p *Process) Stats() Stats {
	var s Stats
	live := 0
	for _, w := range p.workers {
		w.lock.Lock()
		s.RequestsOpen += len(w.requests)
		for _, f := range w.slots {
			if f.phase == phaseOpen {
				s.FlowsOpen++
			}
			if f.phase != phaseClosed {
				live++
			}
		}
		w.lock.Unlock()
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	s.Counts = p.counts
	s.Silent = slices.Clone(p.silent)
	s.OpensRefused, s.Refusals = copyOf(p.counts.OpensRefused), copyOf(p.counts.Refusals)
	s.Done = p.finishing && live == 0 && s.RequestsOpen == 0
	quantile := func(class baobabstep.Class, q float64) float64 {
		return float64(p.latency[class].ValueAtQuantile(q)) / 1000
	}
	s.UrgentP50MS, s.UrgentP99MS = quantile(baobabstep.ClassUrgent, 50), quantile(baobabstep.ClassUrgent, 99)
	s.OrdinaryP50MS, s.OrdinaryP99MS = quantile(baobabstep.ClassOrdinary, 50), quantile(baobabstep.ClassOrdinary, 99)
	return s
}

func copyOf(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Refused returns the numbers of the requests that were refused as not run.
func (p *Process) Refused() []uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	return slices.Clone(p.refused)
}

// Broken returns the flows that ended without their callers' will.
func (p *Process) Broken() []Broken {
	p.lock.Lock()
	defer p.lock.Unlock()
	return slices.Clone(p.broken)
}

// Handler serves the control interface.
func (p *Process) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", control.JSON(func(struct{}) (any, error) { return p.Stats(), nil }))
	mux.HandleFunc("GET /refused", control.JSON(func(struct{}) (any, error) { return p.Refused(), nil }))
	mux.HandleFunc("GET /broken", control.JSON(func(struct{}) (any, error) { return p.Broken(), nil }))
	mux.HandleFunc("POST /finish", control.JSON(func(struct{}) (any, error) {
		p.Finish()
		return struct{}{}, nil
	}))
	return mux
}
