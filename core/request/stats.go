package request

import (
	"sync/atomic"
	"time"

	"baobabstep"
)

// counters are the running totals of an engine.
type counters struct {
	arrived, copies, forwarded, handedOver, retries atomic.Uint64
	claims, conflicts, lateAnswers, ledgerFull      atomic.Uint64
	unknownService, broken                          atomic.Uint64
	ok, notRun, outcomeUnknown, other               atomic.Uint64
}

func (c *counters) countResult(code baobabstep.Code) {
	switch code {
	case baobabstep.CodeOK:
		c.ok.Add(1)
	case baobabstep.CodeOutcomeUnknown:
		c.outcomeUnknown.Add(1)
	case baobabstep.CodeRefusedNotRun, baobabstep.CodeOverloaded, baobabstep.CodeStopping,
		baobabstep.CodeDeadlineExceeded, baobabstep.CodeCancelled:
		c.notRun.Add(1)
	default:
		c.other.Add(1)
	}
}

// Stats are totals since the start, and the present state of the ledger.
type Stats struct {
	// Arrived counts requests taken into the ledger, Copies further copies of
	// them, Forwarded packets forwarded to another VM.
	Arrived    uint64 `json:"arrived"`
	Copies     uint64 `json:"copies"`
	Forwarded  uint64 `json:"forwarded"`
	HandedOver uint64 `json:"handed_over"`
	Retries    uint64 `json:"retries"`
	// Claims counts claims sent to other VMs, Conflicts those rejected here.
	Claims    uint64 `json:"claims"`
	Conflicts uint64 `json:"conflicts"`
	// LateAnswers counts answers dropped because they matched no running attempt.
	LateAnswers    uint64 `json:"late_answers"`
	LedgerFull     uint64 `json:"ledger_full"`
	UnknownService uint64 `json:"unknown_service"`
	// Results by the code sent to the caller.
	OK             uint64 `json:"ok"`
	NotRun         uint64 `json:"not_run"`
	OutcomeUnknown uint64 `json:"outcome_unknown"`
	OtherResult    uint64 `json:"other_result"`
	// Broken counts invariant violations.
	Broken uint64 `json:"broken"`
	// Entries is the size of the ledger, Queued the waiting requests by class,
	// Open all unfinished ones.
	Entries    int    `json:"entries"`
	Tombstones int    `json:"tombstones"`
	Open       int    `json:"open"`
	Queued     [2]int `json:"queued"`
}

// Stats returns the totals and the present state.
func (e *Engine) Stats() Stats {
	c := &e.stats
	s := Stats{
		Arrived: c.arrived.Load(), Copies: c.copies.Load(), Forwarded: c.forwarded.Load(),
		HandedOver: c.handedOver.Load(), Retries: c.retries.Load(),
		Claims: c.claims.Load(), Conflicts: c.conflicts.Load(),
		LateAnswers: c.lateAnswers.Load(), LedgerFull: c.ledgerFull.Load(),
		UnknownService: c.unknownService.Load(), Broken: c.broken.Load(),
		OK: c.ok.Load(), NotRun: c.notRun.Load(), OutcomeUnknown: c.outcomeUnknown.Load(), OtherResult: c.other.Load(),
	}
	for i := range e.shards {
		e.shards[i].addTo(&s)
	}
	return s
}

func (s *shard) addTo(t *Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Entries += s.numEntries
	for _, g := range s.groups {
		t.Tombstones += g.tombstones.len()
		t.Open += g.numOpen
		t.Queued[0] += g.queues[0].numWaiting
		t.Queued[1] += g.queues[1].numWaiting
	}
}

// Explanation describes the ledger's entry for one request.
type Explanation struct {
	State      string              `json:"state"`
	Class      string              `json:"class"`
	Idempotent bool                `json:"idempotent"`
	Attempt    uint16              `json:"attempt"`
	Target     baobabstep.TargetID `json:"target"`
	Claimed    bool                `json:"claimed"`
	// Owner is the VM that owns the request, or zero if it is this one.
	Owner    baobabstep.VMID `json:"owner,omitempty"`
	Code     baobabstep.Code `json:"code"`
	Arrived  time.Time       `json:"arrived"`
	Deadline time.Time       `json:"deadline"`
}

// Explain returns this VM's ledger entry for a request.
func (e *Engine) Explain(key baobabstep.FlowKey) (Explanation, bool) {
	for i := range e.shards {
		if x, ok := e.shards[i].explain(key); ok {
			return x, true
		}
	}
	return Explanation{}, false
}

func (s *shard) explain(key baobabstep.FlowKey) (Explanation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if en := g.ledger[key]; en != nil {
			return Explanation{
				State:      en.state.String(),
				Class:      en.class.String(),
				Idempotent: en.idempotent,
				Attempt:    en.attempt,
				Target:     en.target,
				Claimed:    en.claim.owned,
				Owner:      en.owner,
				Code:       en.result.code,
				Arrived:    en.arrived,
				Deadline:   en.deadline,
			}, true
		}
	}
	return Explanation{}, false
}
