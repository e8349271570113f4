package flow

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
	"baobabstep/core/place"
)

// hashTable is a baseline policy: consistent hashing with a local table, as in
// load balancers behind a router that keeps each flow on one VM. The first
// packet of a flow that a VM receives goes to the target with the best
// rendezvous score, and the VM remembers the choice. VMs share no state.
//
// Its known fault: after the targets change, a VM that receives a flow for the
// first time sends it to another target than the VMs before it.
type hashTable struct {
	config atomic.Pointer[baobabstep.Config]
	flows  localTable
}

func newHashTable() *hashTable { return &hashTable{flows: newLocalTable()} }

// SetConfig applies a configuration.
func (h *hashTable) SetConfig(_ time.Time, c *baobabstep.Config) { h.config.Store(c) }

// SetView has no effect, since VMs share no state.
func (h *hashTable) SetView(time.Time, *baobabstep.View) {}

// SetPaused has no effect.
func (h *hashTable) SetPaused(time.Time, bool) {}

// Handle sends a packet to its target, or an answer to its caller.
func (h *hashTable) Handle(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	c := h.config.Load()
	switch {
	case c == nil:
		return
	case p.FromTarget:
		out.ToCaller(p)
		return
	}
	hash := place.Hash(c.FlowSecret, p.Flow)
	flow, found := h.flows.get(hash)
	if !found {
		tg := bestTarget(c.ServiceAt(p.Flow.Service), hash)
		if tg == nil {
			sendRefusal(p, out)
			return
		}
		flow = localFlow{target: *tg, heard: now}
	}
	flow.heard = now
	h.flows.put(hash, flow, p.Kind)
	sendTo(&flow.target, c.Version, p, out)
}

// Tick removes flows that were idle for localTTL.
func (h *hashTable) Tick(now time.Time, _ *baobabstep.Outbox) { h.flows.expire(now) }

// Stop returns 0, since the policy hands nothing over.
func (h *hashTable) Stop(time.Time, *baobabstep.Outbox) int { return 0 }

// Stats returns the size of the table.
func (h *hashTable) Stats() Stats { return h.flows.stats() }

// Explain returns the target of a flow.
func (h *hashTable) Explain(key baobabstep.FlowKey) (Explanation, bool) {
	c := h.config.Load()
	if c == nil {
		return Explanation{Flow: key}, false
	}
	flow, found := h.flows.get(place.Hash(c.FlowSecret, key))
	return Explanation{Flow: key, Role: "entry", Target: flow.target.ID, Service: flow.target.Service}, found
}

// bestTarget returns the target with the best rendezvous score, or nil.
func bestTarget(s *baobabstep.Service, hash baobabstep.KeyHash) (best *baobabstep.Target) {
	if s == nil {
		return nil
	}
	var bestScore uint64
	for i := range s.Targets {
		tg := &s.Targets[i]
		if score := score(hash, tg.ID); !tg.Drained && (best == nil || score > bestScore) {
			best, bestScore = tg, score
		}
	}
	return best
}

func score(hash baobabstep.KeyHash, id baobabstep.TargetID) uint64 {
	var b [24]byte
	copy(b[:], hash[:])
	binary.LittleEndian.PutUint64(b[16:], uint64(id))
	return xxhash.Sum64(b[:])
}

func sendRefusal(p *baobabstep.Packet, out *baobabstep.Outbox) {
	if p.Kind == baobabstep.KindReset || p.Kind == baobabstep.KindClose {
		return
	}
	out.ToCaller(&baobabstep.Packet{
		Kind: baobabstep.KindReset, FromTarget: true, Flow: p.Flow, Code: baobabstep.CodeNoTarget, RetryAfter: openRetryAfter,
	})
}

func sendTo(tg *baobabstep.Target, version uint64, p *baobabstep.Packet, out *baobabstep.Outbox) {
	s := baobabstep.OutgoingPacket{Dest: baobabstep.DestTarget, Address: tg.Address, Packet: *p}
	s.Packet.Service, s.Packet.Target, s.Packet.Version = tg.Service, tg.ID, version
	s.Packet.Route = baobabstep.Route{}
	*out = append(*out, s)
}

// localFlow is the record of a flow in a baseline policy.
type localFlow struct {
	target baobabstep.Target
	heard  time.Time
}

// localTTL is the idle time after which a baseline policy removes a flow.
const localTTL = 10 * time.Minute

// localTable is a sharded flow table of a single VM.
type localTable struct {
	shards [64]*localShard
}

type localShard struct {
	mu    sync.Mutex
	flows map[baobabstep.KeyHash]localFlow
}

func newLocalTable() (t localTable) {
	for i := range t.shards {
		t.shards[i] = &localShard{flows: make(map[baobabstep.KeyHash]localFlow)}
	}
	return t
}

func (t *localTable) shard(hash baobabstep.KeyHash) *localShard { return t.shards[hash[7]%64] }

func (t *localTable) get(hash baobabstep.KeyHash) (localFlow, bool) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	flow, found := s.flows[hash]
	return flow, found
}

// put stores a flow, or removes it if the packet kind ends it.
func (t *localTable) put(hash baobabstep.KeyHash, flow localFlow, kind baobabstep.Kind) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == baobabstep.KindClose || kind == baobabstep.KindReset {
		delete(s.flows, hash)
		return
	}
	s.flows[hash] = flow
}

// maxExpireScan bounds the flows of one shard that a call of expire examines.
const maxExpireScan = 64

func (t *localTable) expire(now time.Time) {
	for _, s := range t.shards {
		s.mu.Lock()
		n := 0
		for hash, flow := range s.flows {
			if now.Sub(flow.heard) > localTTL {
				delete(s.flows, hash)
			}
			if n++; n == maxExpireScan {
				break
			}
		}
		s.mu.Unlock()
	}
}

func (t *localTable) stats() Stats {
	n := 0
	for _, s := range t.shards {
		s.mu.Lock()
		n += len(s.flows)
		s.mu.Unlock()
	}
	return Stats{
		Events: map[string]uint64{},
		Flows:  map[string]int{stateName(StateEstablished): n},
		Bytes:  n * int(unsafe.Sizeof(localFlow{})+unsafe.Sizeof(baobabstep.KeyHash{})),
	}
}
