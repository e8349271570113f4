package token

import (
	"sync"
	"time"

	"baobabstep"
)

// flow is what this VM remembers of a flow that it saw packets of.
type flow struct {
	target *target
	// opening is set until a packet after the first one came.
	opening bool
	// closed is set once the caller closed or reset the flow. The record stays
	// for a while, so that late packets do not count as a flow.
	closed bool
	// heard is when the last packet came.
	heard time.Time
	// seq is the number of the first packet: a caller that uses its port again
	// starts with another.
	seq uint32
	// acked is how far the caller had received its target's answers when it
	// sent its last request.
	acked uint32
}

// startsRequest tells whether a segment starts a request on an established
// flow: the caller sends bytes after it has received more of the answers. The
// further segments of a long request acknowledge nothing new.
func (f *flow) startsRequest(p *baobabstep.Segment) bool {
	return p.Size > 0 && p.Acked != f.acked
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

// expire forgets flows that were silent for idle.
func (s *shard) expire(now time.Time, idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, f := range s.flows {
		silent := now.Sub(f.heard)
		if silent >= idle || f.closed && silent >= closedFor {
			s.remove(key)
		}
	}
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
