package token

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"baobabstep"
)

// flow is this VM's record of a flow of which it has seen packets.
type flow struct {
	target *target
	// opening is set until a packet after the first one arrives.
	opening bool
	// retransmitted is set once the first segment was retransmitted.
	retransmitted bool
	// homeKnown is set once it is certain that the flow is open at target: the caller completed the
	// handshake with its token, or acknowledged an answer on it.
	homeKnown bool
	// closed is set once the caller closed or reset the flow. The record is kept for
	// closedRetention, so that late packets do not count as another flow.
	closed bool
	// segmentSize is the payload of the latest segment of a bulk flow that was not the last
	// of its request.
	segmentSize uint16
	// requestSent is set while the last segment of a bulk flow was the last of its request.
	requestSent bool
	// lastPacketAt is when the last packet arrived.
	lastPacketAt time.Time
	// requestSentAt is when the first segment, or the latest request after it, went to the
	// target.
	requestSentAt time.Time
	// timingPending is set until the latency of the latest request is measured, at the next
	// segment that acknowledges more and carries no payload. A segment that carries the
	// next request may be sent long after the answer.
	timingPending bool
	// countedUnanswered is set once the flow was counted against its target, so that it
	// counts once until the target is heard from on it.
	countedUnanswered bool
	// repeatedAt is when a segment of the flow was last repeated after it was counted.
	repeatedAt time.Time
	// seq is the sequence number of the first packet: a caller that reuses its port starts
	// with another one. For a flow that this VM did not place, it is as if the record had been
	// made with the end of the handshake or the first request.
	seq uint32
	key baobabstep.FlowKey
	// rule is the rule of the flow's address when the record was made.
	rule *rule
	// outcomePending is set until the outcome of the latest request is known. latency is
	// the time until its answer began, 0 until then, and lastProgressAt is when a part of
	// the answer was last acknowledged.
	outcomePending bool
	// answerPending is set until a part of the answer to the latest request is
	// acknowledged, even if the outcome was counted before.
	answerPending  bool
	latency        time.Duration
	lastProgressAt time.Time
	// acked is how far the caller has acknowledged its target's answers, and requestAcked
	// how far it had when it sent its latest request. A caller that sends payload after
	// acknowledging more starts a new request, while the further segments of a long request
	// acknowledge nothing new.
	acked, requestAcked uint32
	// sentEnd is the end of what the caller has sent, and requestStart where its latest
	// request begins.
	sentEnd, requestStart uint32
}

// shard is a part of the flow table with its own lock.
type shard struct {
	mu    sync.Mutex
	flows map[baobabstep.FlowKey]*flow
	// unrouted are the established flows whose addresses have no route; nil if there were none.
	unrouted map[baobabstep.FlowKey]unroutedFlow
}

const shardCount = 16

type flowTable struct {
	shards [shardCount]shard
}

func newFlowTable() *flowTable {
	t := new(flowTable)
	for i := range t.shards {
		t.shards[i].flows = make(map[baobabstep.FlowKey]*flow)
	}
	return t
}

func (t *flowTable) shard(h flowHash) *shard { return &t.shards[h%shardCount] }

// add records a flow and counts it at its target.
func (s *shard) add(key baobabstep.FlowKey, f *flow) {
	s.remove(key)
	f.target.load.flows.Add(1)
	s.flows[key] = f
}

func (s *shard) remove(key baobabstep.FlowKey) {
	if f := s.flows[key]; f != nil {
		f.close()
		delete(s.flows, key)
	}
}

// close removes the flow from the open flows of its target.
func (f *flow) close() {
	if !f.closed {
		f.closed = true
		f.target.load.flows.Add(-1)
	}
}

// closedRetention is how long the record of a closed flow is kept: longer than the last
// acknowledgements of both ends take with one retransmission.
const closedRetention = time.Second

// vanishTimeout is how long after its first segment, without any further packet, a flow
// counts as refused by its target. Callers that got no reply retransmit after 200 ms, and
// callers whose flow was accepted continue at once.
const vanishTimeout = 300 * time.Millisecond

// markVanished reports whether the flow's target seems to have refused it. It returns true
// only once for a flow.
func (f *flow) markVanished(now time.Time) bool {
	if !f.opening || f.countedUnanswered || f.retransmitted || now.Sub(f.requestSentAt) < vanishTimeout {
		return false
	}
	f.countedUnanswered = true
	return true
}

// expire drops flows without packets for idle and returns the flows that vanished. It calls
// check for each flow with a request in progress. Both are processed in the order in which
// the requests were sent: the learned sizes and times depend on the order, and the same
// packets must lead to the same decisions.
func (s *shard) expire(now time.Time, idle time.Duration, check func(*flow)) (vanished []*flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireUnrouted(now, idle)
	var pending []*flow
	for key, f := range s.flows {
		idleTime := now.Sub(f.lastPacketAt)
		if f.markVanished(now) {
			vanished = append(vanished, f)
		}
		if f.outcomePending || f.answerPending {
			pending = append(pending, f)
		}
		if idleTime >= idle || f.closed && idleTime >= closedRetention {
			s.remove(key)
		}
	}
	slices.SortFunc(vanished, compareRequestTimes)
	slices.SortFunc(pending, compareRequestTimes)
	for _, f := range pending {
		check(f)
	}
	return vanished
}

// compareRequestTimes orders flows by the time of their latest request, then by their
// addresses.
func compareRequestTimes(a, b *flow) int {
	return cmp.Or(a.requestSentAt.Compare(b.requestSentAt), a.key.Caller.Compare(b.key.Caller), a.key.Service.Compare(b.key.Service))
}

// count returns the number of flows in the table.
func (t *flowTable) count() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.flows)
		s.mu.Unlock()
	}
	return n
}
