package heartbeat

import (
	"cmp"
	"encoding"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"time"

	"baobabstep"
)

// tally is the sum of what live VMs say of targets. It is kept as heartbeats come:
// what thousands of VMs say is too much to sum up anew at each look. Whole
// numbers, so that what was added can be taken off again exactly.
type tally map[baobabstep.TargetID]*tallied

// tallied is the sum for one target.
type tallied struct {
	tenths uint64
	// answers and failed are in tenths, took is the times of answers that did
	// not fail, in tenths times milliseconds.
	answers, failed, took uint64
	// callers counts, for each bit of Load.Callers, the VMs that say it.
	callers [16]uint16
}

func (t tally) add(loads Loads) {
	for _, l := range loads {
		sum := t[l.Target]
		if sum == nil {
			if l.Tenths == 0 && l.AnswerTenths == 0 {
				continue
			}
			sum = new(tallied)
			t[l.Target] = sum
		}
		sum.tenths += uint64(l.Tenths)
		if l.AnswerTenths > 0 {
			sum.addAnswers(&l)
		}
	}
}

func (t tally) remove(loads Loads) {
	for _, l := range loads {
		sum := t[l.Target]
		if sum == nil {
			continue
		}
		sum.tenths -= uint64(l.Tenths)
		if l.AnswerTenths > 0 {
			sum.removeAnswers(&l)
		}
		if sum.tenths == 0 && sum.answers == 0 {
			delete(t, l.Target)
		}
	}
}

func (s *tallied) addAnswers(l *Load) {
	s.answers += uint64(l.AnswerTenths)
	s.failed += l.failedTenths()
	s.took += l.tookTenths()
	for set := l.Callers; set != 0; set &= set - 1 {
		s.callers[bits.TrailingZeros16(set)]++
	}
}

func (s *tallied) removeAnswers(l *Load) {
	s.answers -= uint64(l.AnswerTenths)
	s.failed -= l.failedTenths()
	s.took -= l.tookTenths()
	for set := l.Callers; set != 0; set &= set - 1 {
		s.callers[bits.TrailingZeros16(set)]--
	}
}

// failedTenths returns FailedTenths, which a broken sender may say too high.
func (l *Load) failedTenths() uint64 { return uint64(min(l.FailedTenths, l.AnswerTenths)) }

// tookTenths returns the sum of the times of answers that did not fail.
func (l *Load) tookTenths() uint64 {
	return uint64(l.TookMS) * (uint64(l.AnswerTenths) - l.failedTenths())
}

// load returns the sum as the router takes it.
func (s *tallied) load() baobabstep.TargetLoad {
	load := baobabstep.TargetLoad{Requests: float64(s.tenths) / tenths}
	if s.answers == 0 {
		return load
	}
	load.Answers, load.Failed = float64(s.answers)/tenths, float64(s.failed)/tenths
	if good := s.answers - s.failed; good > 0 {
		load.Took = time.Duration(s.took) * time.Millisecond / time.Duration(good)
	}
	for bit, vms := range s.callers {
		if vms > 0 {
			load.Callers |= 1 << bit
		}
	}
	return load
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
	for i := range p.last.Loads {
		b.changed[p.last.Loads[i].Target] = struct{}{}
	}
	b.markReportsChanged(p)
}

// markReportsChanged marks the targets in a peer's reports as changed.
func (b *Board) markReportsChanged(p *peer) {
	for id := range p.reports {
		b.changed[id] = struct{}{}
	}
}

func (l Load) hasEvidence() bool { return l.tellsSilence() || l.AnswerTenths > 0 }

func (l Load) tellsSilence() bool { return l.Unanswered > 0 || l.Opens > 0 || l.HeardMS > 0 }

// Repeat makes the next Loads return the loads of targets again.
func (b *Board) Repeat(targets []baobabstep.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range targets {
		b.changed[id] = struct{}{}
	}
}

// Loads returns what the live VMs say of targets, for those targets whose load may
// have changed since the previous call: the requests and answers of all VMs, and what
// those of the own data centre say of silent targets. What VMs elsewhere find silent
// may be their path to the target. The value is zero for a target that no VM reports
// any more.
func (b *Board) Loads(now time.Time) map[baobabstep.TargetID]baobabstep.TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.last != nil {
			b.count(p, b.live(now, p))
		}
	}
	loads := make(map[baobabstep.TargetID]baobabstep.TargetLoad, len(b.changed))
	for id := range b.changed {
		if sum := b.tally[id]; sum != nil {
			loads[id] = sum.load()
		} else {
			loads[id] = baobabstep.TargetLoad{}
		}
	}
	clear(b.changed)
	for _, p := range b.peers {
		if !p.counted || p.last.DataCentre != b.o.DataCentre {
			continue
		}
		for id, r := range p.reports {
			if sum, changed := loads[id]; changed {
				r.addTo(&sum)
				loads[id] = sum
			}
		}
	}
	return loads
}

// maxHeard is the greatest HeardMS.
const maxHeard = 1<<16 - 1

// maxLeft is the greatest LeftMS that is told: what is older counts for nothing,
// and would take a third byte.
const maxLeft = 1<<14 - 1

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
			Unanswered: toldCount(l.Unanswered), Opens: toldCount(l.Opens), Vanished: toldCount(l.Vanished),
		}
		if l.Disputed && !l.HeardAt.IsZero() {
			load.HeardMS = uint16(min(max(1, now.Sub(l.HeardAt).Milliseconds()), maxHeard))
		}
		if load.Unanswered > 0 {
			load.LeftMS = uint16(min(max(0, now.Sub(l.LeftAt).Milliseconds()), maxLeft))
		}
		if l.Answers > 0 {
			load.AnswerTenths, load.FailedTenths = tenthsOf(l.Answers), tenthsOf(min(l.Failed, l.Answers))
			load.TookMS = uint16(min(l.Took.Milliseconds(), math.MaxUint16))
			load.Callers = l.Callers
		}
		if load.Tenths > 0 || load.hasEvidence() {
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(
			cmp.Compare(b.Unanswered, a.Unanswered), cmp.Compare(b.HeardMS, a.HeardMS), cmp.Compare(b.FailedTenths, a.FailedTenths),
			cmp.Compare(b.AnswerTenths, a.AnswerTenths), cmp.Compare(b.Tenths, a.Tenths), cmp.Compare(a.Target, b.Target),
		)
	})
	loads = loads[:min(len(loads), most)]
	sortLoads(loads)
	return loads
}

// mostTold is the greatest count of flows that is told: more says no more, and
// takes a second byte.
const mostTold = 100

func toldCount(flows int) uint8 { return uint8(min(flows, mostTold)) }

// tenthsOf returns a count as it travels.
func tenthsOf(count float64) uint16 { return uint16(min(count*tenths, math.MaxUint16)) }

func sortLoads(l Loads) {
	slices.SortFunc(l, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
}

var (
	_ encoding.BinaryMarshaler   = Loads(nil)
	_ encoding.BinaryUnmarshaler = (*Loads)(nil)
)

// MarshalBinary implements [encoding.BinaryMarshaler]: for each load the
// distance to the target before, the tenths doubled and 1 more if evidence
// follows, all as varints, and the evidence: its length in one byte, and its
// values as varints, of which a receiver takes those that it knows. A target
// with a random identifier of 40 bits takes 6 to 7 bytes so, in place of 16 as
// CBOR, and 7 to 10 more with evidence. The loads must be sorted by target.
// Errors: CodeInternal.
func (l Loads) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, len(l)*loadBytes)
	last := baobabstep.TargetID(0)
	for i, load := range l {
		if i > 0 && load.Target <= last {
			return nil, baobabstep.Errorf(baobabstep.CodeInternal, "heartbeat.loads", "got target %x after %x, want ascending ones", uint64(load.Target), uint64(last))
		}
		b = binary.AppendUvarint(b, uint64(load.Target-last))
		last = load.Target
		doubled := uint64(load.Tenths) << 1
		if !load.hasEvidence() {
			b = binary.AppendUvarint(b, doubled)
			continue
		}
		b = binary.AppendUvarint(b, doubled|1)
		b = load.appendEvidence(b)
	}
	return b, nil
}

// appendEvidence appends the evidence with its length. Values at the end that
// are 0 are left out.
func (l Load) appendEvidence(b []byte) []byte {
	values := l.evidence()
	count := len(values)
	for count > 0 && values[count-1] == 0 {
		count--
	}
	length := len(b)
	b = append(b, 0)
	for _, v := range values[:count] {
		b = binary.AppendUvarint(b, uint64(v))
	}
	b[length] = byte(len(b) - length - 1)
	return b
}

// evidenceValues is the number of values of the evidence.
const evidenceValues = 9

// evidence returns the values of the evidence in the order in which they travel.
func (l Load) evidence() [evidenceValues]uint16 {
	return [...]uint16{uint16(l.Unanswered), uint16(l.Opens), l.HeardMS, l.AnswerTenths, l.FailedTenths, l.TookMS, l.Callers, l.LeftMS, uint16(l.Vanished)}
}

// setEvidence takes in values in that order.
func (l *Load) setEvidence(v [evidenceValues]uint16) {
	l.Unanswered, l.Opens, l.Vanished = uint8(min(v[0], maxCount)), uint8(min(v[1], maxCount)), uint8(min(v[8], maxCount))
	l.HeardMS, l.AnswerTenths, l.FailedTenths, l.TookMS, l.Callers, l.LeftMS = v[2], v[3], v[4], v[5], v[6], v[7]
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
	doubled, n := binary.Uvarint(b)
	if n <= 0 || doubled>>1 > math.MaxUint32 {
		return load, nil, malformedLoads("%d bytes without requests", len(b))
	}
	b = b[n:]
	load.Target, load.Tenths = baobabstep.TargetID(distance), uint32(doubled>>1)
	if doubled&1 == 0 {
		return load, b, nil
	}
	if len(b) == 0 || len(b) <= int(b[0]) {
		return load, nil, malformedLoads("%d bytes of evidence, want their length and as many", len(b))
	}
	evidence, rest := b[1:1+int(b[0])], b[1+int(b[0]):]
	return load, rest, load.takeEvidence(evidence)
}

// takeEvidence takes in the evidence in b. Values that later versions added
// stand at the end and are passed over.
func (l *Load) takeEvidence(b []byte) error {
	var values [evidenceValues]uint16
	for i := range values {
		if len(b) == 0 {
			break
		}
		v, n := binary.Uvarint(b)
		if n <= 0 || v > math.MaxUint16 {
			return malformedLoads("%d bytes without a value of evidence", len(b))
		}
		values[i] = uint16(v)
		b = b[n:]
	}
	l.setEvidence(values)
	return nil
}

// loadBytes is what most loads take.
const loadBytes = 8

func malformedLoads(format string, args ...any) error {
	return baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.loads", "got "+format, args...)
}
