package flow

import (
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"unsafe"

	"baobabstep"
)

// chunkSize is the number of records allocated together. Records never move,
// so growing the table copies only the index.
const chunkSize = 64

// minIndex is the initial length of a shard's index.
const minIndex = 64

// shard is one part of the flow table with its own lock. Records are stored in
// chunks; the index is an open-addressing hash table of their positions.
type shard struct {
	mu     sync.Mutex
	chunks []*[chunkSize]record
	// free holds the unused positions.
	free []uint32
	// index maps a hash to an entry: position+1 in the low bits, a tag of
	// the hash in the high ones; 0 is empty. Its length is a power of two,
	// and at most three quarters are in use. Comparing tags first avoids
	// most cache misses on records of other flows.
	index []uint32
	used  int
	// counts holds the number of records by state, halfOpenCount that of
	// half-open ones.
	counts        [numStates]int
	halfOpenCount int
	// callers counts the half-open records by caller, across all shards.
	callers *callerCounts
	random  *rand.Rand
	events  [numEvents]uint64
}

// home returns the index position at which the search for h starts. It uses
// other bits of the hash than the slot and the shard.
func (s *shard) home(h *baobabstep.KeyHash) uint32 {
	return uint32(binary.LittleEndian.Uint64(h[:8])>>32) & uint32(len(s.index)-1)
}

func (s *shard) recordAt(pos uint32) *record {
	return &s.chunks[pos/chunkSize][pos%chunkSize]
}

// size returns the number of positions, used or free.
func (s *shard) size() uint32 { return uint32(len(s.chunks) * chunkSize) }

// Layout of an index entry.
const (
	positionBits = 20
	positionMask = 1<<positionBits - 1
	// maxRecords is the capacity of a shard.
	maxRecords = positionMask - chunkSize
)

// tag returns the part of an index entry that comes from the hash.
func tag(h *baobabstep.KeyHash) uint32 {
	return uint32(binary.LittleEndian.Uint64(h[8:])>>32) &^ positionMask
}

// recordOf returns the record of an index entry.
func (s *shard) recordOf(entry uint32) *record { return s.recordAt(entry&positionMask - 1) }

// find returns the record of h, or nil.
func (s *shard) find(h *baobabstep.KeyHash) *record {
	if s.used == 0 {
		return nil
	}
	mask := uint32(len(s.index) - 1)
	want := tag(h)
	for i := s.home(h); s.index[i] != 0; i = (i + 1) & mask {
		if s.index[i]&^positionMask != want {
			continue
		}
		if rec := s.recordOf(s.index[i]); rec.hash == *h {
			return rec
		}
	}
	return nil
}

// insert adds an empty record for h, which must not exist yet.
func (s *shard) insert(h *baobabstep.KeyHash) *record {
	if 4*(s.used+1) > 3*len(s.index) {
		s.grow()
	}
	if len(s.free) == 0 {
		s.addChunk()
	}
	pos := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.addToIndex(h, pos)
	s.used++
	rec := s.recordAt(pos)
	*rec = record{hash: *h}
	return rec
}

func (s *shard) addChunk() {
	first := s.size()
	s.chunks = append(s.chunks, new([chunkSize]record))
	for i := uint32(chunkSize); i > 0; i-- {
		s.free = append(s.free, first+i-1)
	}
}

func (s *shard) addToIndex(h *baobabstep.KeyHash, pos uint32) {
	mask := uint32(len(s.index) - 1)
	i := s.home(h)
	for s.index[i] != 0 {
		i = (i + 1) & mask
	}
	s.index[i] = tag(h) | (pos + 1)
}

func (s *shard) grow() {
	old := s.index
	s.index = make([]uint32, max(minIndex, 2*len(old)))
	for _, entry := range old {
		if entry != 0 {
			s.addToIndex(&s.recordOf(entry).hash, entry&positionMask-1)
		}
	}
}

// remove deletes a record. It shifts later index entries back, so the index
// needs no tombstones and probe sequences stay short.
func (s *shard) remove(rec *record) {
	mask := uint32(len(s.index) - 1)
	i := s.home(&rec.hash)
	for s.recordOf(s.index[i]) != rec {
		i = (i + 1) & mask
	}
	s.free = append(s.free, s.index[i]&positionMask-1)
	*rec = record{}
	s.used--
	for j := (i + 1) & mask; s.index[j] != 0; j = (j + 1) & mask {
		home := s.home(&s.recordOf(s.index[j]).hash)
		if (j-home)&mask >= (j-i)&mask {
			s.index[i] = s.index[j]
			i = j
		}
	}
	s.index[i] = 0
}

// setState changes the state of a record and updates the counts. change, if
// not nil, may modify the flags that decide whether the record is half-open.
func (s *shard) setState(rec *record, state State, change func(*record)) {
	s.counts[rec.state]--
	if rec.halfOpen() {
		s.halfOpenCount--
		s.callers.counter(&rec.caller).Add(-1)
	}
	rec.state = state
	if change != nil {
		change(rec)
	}
	s.counts[rec.state]++
	if rec.halfOpen() {
		s.halfOpenCount++
		s.callers.counter(&rec.caller).Add(1)
	}
}

// callerCounts counts half-open flows by caller address. Addresses that share
// a counter share its limit; the random seed keeps a caller from choosing
// addresses that share another caller's counter.
type callerCounts struct {
	seed   uint64
	counts [1 << 12]atomic.Int32
}

func (c *callerCounts) counter(address *[16]byte) *atomic.Int32 {
	high, low := binary.LittleEndian.Uint64(address[:8]), binary.LittleEndian.Uint64(address[8:])
	hi, lo := bits.Mul64(low^c.seed, high^bits.RotateLeft64(c.seed, 32)|1)
	return &c.counts[(hi^lo)%uint64(len(c.counts))]
}

// bytes returns the memory of the shard's records, index and free list in
// bytes.
func (s *shard) bytes() int {
	return len(s.chunks)*chunkSize*int(unsafe.Sizeof(record{})) + 4*cap(s.index) + 4*cap(s.free)
}
