package token

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"baobabstep"
)

// flow is what this VM remembers of a flow that it saw packets of.
type flow struct {
	target *target
	// opening is set until a packet after the first one came.
	opening bool
	// repeated is set once a copy of the first segment came.
	repeated bool
	// closed is set once the caller closed or reset the flow. The record stays
	// for a while, so that late packets do not count as a flow.
	closed bool
	// heard is when the last packet came.
	heard time.Time
	// sent is when the first segment, or the last request since, went to the
	// target.
	sent time.Time
	// timed is set while the time of the last request is still to be taken: at
	// the next segment that acknowledges more and carries nothing. One that
	// carries the next request may come long after the answer.
	timed bool
	// unanswered is set once the flow was counted against its target; it
	// counts once until the target is heard of on it.
	unanswered bool
	// seq is the number of the first packet: a caller that uses its port again
	// starts with another.
	seq uint32
	key baobabstep.FlowKey
	// rule is that of the flow's address when its record was made.
	rule *rule
	// asked is set while the outcome of a request is to be seen. took is how
	// long its answer took to begin, 0 while it has not, and progressAt when
	// the last part of it was acknowledged.
	asked bool
	// waits is set while nothing of the answer to the last request has come, even
	// if its outcome was counted.
	waits      bool
	took       time.Duration
	progressAt time.Time
	// acked is how far the caller has received its target's answers, and
	// requestAcked how far it had when it sent its last request: a caller that
	// sends bytes after it has received more starts a request, while the
	// further segments of a long one acknowledge nothing new.
	acked, requestAcked uint32
	// sentEnd is the end of what the caller has sent.
	sentEnd uint32
}

// shard is a part of the flows under its own lock.
type shard struct {
	mu    sync.Mutex
	flows map[baobabstep.FlowKey]*flow
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

// add records a flow at its target.
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

// close takes the flow out of its target's load.
func (f *flow) close() {
	if !f.closed {
		f.closed = true
		f.target.load.flows.Add(-1)
	}
}

// closedFor is how long the record of a closed flow stays: longer than the
// last acknowledgements of both ends take with one retransmission.
const closedFor = time.Second

// vanishedAfter is how long after its first segment a flow of which nothing
// more came was refused by its target: callers send a copy after 200 ms unless
// they heard something, and go on at once if it was an acceptance.
const vanishedAfter = 300 * time.Millisecond

// vanished tells, once, whether the flow's target seems to have refused it.
func (f *flow) vanished(now time.Time) bool {
	if !f.opening || f.unanswered || f.repeated || now.Sub(f.sent) < vanishedAfter {
		return false
	}
	f.unanswered = true
	return true
}

// expire forgets flows that were silent for idle, returns those that vanished,
// and shows those whose request is under way to look. Both come in the order in
// which their requests were sent: what is learned of sizes and times depends on it,
// and the same packets have to lead to the same decisions.
func (s *shard) expire(now time.Time, idle time.Duration, look func(*flow)) (vanished []*flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var asked []*flow
	for key, f := range s.flows {
		silent := now.Sub(f.heard)
		if f.vanished(now) {
			vanished = append(vanished, f)
		}
		if f.asked || f.waits {
			asked = append(asked, f)
		}
		if silent >= idle || f.closed && silent >= closedFor {
			s.remove(key)
		}
	}
	slices.SortFunc(vanished, bySent)
	slices.SortFunc(asked, bySent)
	for _, f := range asked {
		look(f)
	}
	return vanished
}

// bySent compares flows by when their requests were sent, then by their ends.
func bySent(a, b *flow) int {
	return cmp.Or(a.sent.Compare(b.sent), a.key.Caller.Compare(b.key.Caller), a.key.Service.Compare(b.key.Service))
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
