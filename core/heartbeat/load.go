package heartbeat

import (
	"cmp"
	"encoding"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"baobabstep"
)

// tally is the sum of what live VMs say that they send to targets. It is kept as
// heartbeats come: summing up 2,300 VMs anew ten times a second took a sixth of
// a core. Whole numbers, so that what was added can be taken off again exactly.
type tally map[baobabstep.TargetID]uint64

func (t tally) add(loads Loads) {
	for _, l := range loads {
		if l.Tenths > 0 {
			t[l.Target] += uint64(l.Tenths)
		}
	}
}

func (t tally) remove(loads Loads) {
	for _, l := range loads {
		if l.Tenths == 0 {
			continue
		}
		if t[l.Target] -= uint64(l.Tenths); t[l.Target] == 0 {
			delete(t, l.Target)
		}
	}
}

// count makes the tally hold a peer's loads, or no longer.
func (b *Board) count(p *peer, counted bool) {
	switch {
	case p.counted == counted:
		return
	case counted:
		b.tally.add(p.last.Loads)
	default:
		b.tally.remove(p.last.Loads)
	}
	p.counted = counted
}

// HasEvidence tells whether the sender found targets silent, or contradicts
// others who did.
func (h *Heartbeat) HasEvidence() bool { return slices.ContainsFunc(h.Loads, Load.hasEvidence) }

func (l Load) hasEvidence() bool { return l.Unanswered > 0 || l.Opens > 0 || l.HeardMS > 0 }

// witnessAt is the number of flows that a VM has to have found unanswered to be
// a witness: with one, a lost datagram would make it one.
const witnessAt = 2

// Loads returns what the live VMs say of targets: the requests of all, the most
// flows that any VM of the own data centre found unanswered, and how many such
// VMs are sure. What VMs elsewhere find may be their path to the target.
func (b *Board) Loads(now time.Time) map[baobabstep.TargetID]baobabstep.TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.last != nil {
			b.count(p, b.live(now, p))
		}
	}
	loads := make(map[baobabstep.TargetID]baobabstep.TargetLoad, len(b.tally))
	for id, sum := range b.tally {
		loads[id] = baobabstep.TargetLoad{Requests: float64(sum) / tenths}
	}
	for _, p := range b.peers {
		if p.counted && p.evidence && p.last.DataCentre == b.o.DataCentre {
			p.addEvidence(loads)
		}
	}
	return loads
}

func (p *peer) addEvidence(loads map[baobabstep.TargetID]baobabstep.TargetLoad) {
	for _, l := range p.last.Loads {
		sum := loads[l.Target]
		sum.Unanswered = max(sum.Unanswered, int(l.Unanswered))
		sum.Opens = max(sum.Opens, int(l.Opens))
		if l.Unanswered >= witnessAt && l.Opens > 0 {
			sum.Witnesses++
		}
		if at := p.heard.Add(-time.Duration(l.HeardMS) * time.Millisecond); l.HeardMS > 0 && at.After(sum.HeardAt) {
			sum.HeardAt = at
		}
		loads[l.Target] = sum
	}
}

// maxHeard is the greatest HeardMS.
const maxHeard = 1<<16 - 1

// maxCount is the greatest count of flows that a Load says.
const maxCount = 255

// tenths is the number of units of Load.Tenths in a request.
const tenths = 10

// MakeLoads returns what a heartbeat says of targets, of at most the given
// number: of the most loaded ones, where there are too many, and first of those
// that leave flows unanswered, or do so by the word of others.
func MakeLoads(now time.Time, own []baobabstep.TargetLoad, most int) Loads {
	loads := make(Loads, 0, len(own))
	for _, l := range own {
		load := Load{
			Target: l.Target, Tenths: uint32(l.Requests * tenths),
			Unanswered: uint8(min(l.Unanswered, maxCount)), Opens: uint8(min(l.Opens, maxCount)),
		}
		if l.Disputed && !l.HeardAt.IsZero() {
			load.HeardMS = uint16(min(max(1, now.Sub(l.HeardAt).Milliseconds()), maxHeard))
		}
		if load.Tenths > 0 || load.Unanswered > 0 || load.HeardMS > 0 {
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Unanswered, a.Unanswered), cmp.Compare(b.HeardMS, a.HeardMS), cmp.Compare(b.Tenths, a.Tenths), cmp.Compare(a.Target, b.Target))
	})
	loads = loads[:min(len(loads), most)]
	sortLoads(loads)
	return loads
}

func sortLoads(l Loads) {
	slices.SortFunc(l, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
}

var (
	_ encoding.BinaryMarshaler   = Loads(nil)
	_ encoding.BinaryUnmarshaler = (*Loads)(nil)
)

// MarshalBinary implements [encoding.BinaryMarshaler]: for each load the
// distance to the target before, the tenths doubled and 1 more if evidence
// follows, all as varints, and the evidence as four bytes. A target with a
// random identifier of 40 bits takes 6 to 7 bytes so, in place of 16 as CBOR.
// The loads must be sorted by target. Errors: CodeInternal.
func (l Loads) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, len(l)*loadBytes)
	last := baobabstep.TargetID(0)
	for i, load := range l {
		if i > 0 && load.Target <= last {
			return nil, baobabstep.Errorf(baobabstep.CodeInternal, "heartbeat.loads", "got target %x after %x, want ascending ones", uint64(load.Target), uint64(last))
		}
		b = binary.AppendUvarint(b, uint64(load.Target-last))
		last = load.Target
		tenths := uint64(load.Tenths) << 1
		if !load.hasEvidence() {
			b = binary.AppendUvarint(b, tenths)
			continue
		}
		b = binary.AppendUvarint(b, tenths|1)
		b = append(b, load.Unanswered, load.Opens)
		b = binary.BigEndian.AppendUint16(b, load.HeardMS)
	}
	return b, nil
}

// UnmarshalBinary implements [encoding.BinaryUnmarshaler]. Errors: CodeMalformed.
func (l *Loads) UnmarshalBinary(b []byte) error {
	list := make(Loads, 0, min(len(b)/2, maxLoads))
	last := baobabstep.TargetID(0)
	for len(b) > 0 {
		if len(list) == maxLoads {
			return malformedLoads("more than %d", maxLoads)
		}
		var load Load
		var err error
		if load, b, err = nextLoad(b); err != nil {
			return err
		}
		load.Target += last
		if len(list) > 0 && load.Target <= last {
			return malformedLoads("target %x after %x", uint64(load.Target), uint64(last))
		}
		last = load.Target
		list = append(list, load)
	}
	*l = list
	return nil
}

// nextLoad takes one load off b; its target is the distance to the one before.
func nextLoad(b []byte) (load Load, rest []byte, err error) {
	distance, n := binary.Uvarint(b)
	if n <= 0 {
		return load, nil, malformedLoads("%d bytes without a target", len(b))
	}
	b = b[n:]
	tenths, n := binary.Uvarint(b)
	if n <= 0 || tenths>>1 > math.MaxUint32 {
		return load, nil, malformedLoads("%d bytes without requests", len(b))
	}
	b = b[n:]
	load.Target, load.Tenths = baobabstep.TargetID(distance), uint32(tenths>>1)
	if tenths&1 == 0 {
		return load, b, nil
	}
	if len(b) < evidenceBytes {
		return load, nil, malformedLoads("%d bytes of evidence, want %d", len(b), evidenceBytes)
	}
	load.Unanswered, load.Opens, load.HeardMS = b[0], b[1], binary.BigEndian.Uint16(b[2:])
	return load, b[evidenceBytes:], nil
}

const (
	// evidenceBytes is the size of what follows the tenths of a load with
	// evidence: two counts of one byte and HeardMS.
	evidenceBytes = 4
	// loadBytes is what most loads take.
	loadBytes = 8
)

func malformedLoads(format string, args ...any) error {
	return baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.loads", "got "+format, args...)
}
