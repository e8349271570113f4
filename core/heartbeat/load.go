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

// targetSums are the summed loads of targets over the live VMs. They are updated with each
// heartbeat, because a new sum over the loads of thousands of VMs would be too expensive
// at each read. The sums are integers, so that subtraction exactly reverses addition.
type targetSums map[baobabstep.TargetID]*targetSum

// targetSum is the summed load of one target.
type targetSum struct {
	tenths uint64
	// answers and failed are in tenths. latency is the sum of the latencies of the other
	// answers, in tenths times milliseconds.
	answers, failed, latency uint64
	// callers counts, for each bit of Load.Callers, the VMs that report it.
	callers [16]uint16
}

func (t targetSums) add(loads Loads) {
	for _, l := range loads {
		sum := t[l.Target]
		if sum == nil {
			if l.RequestTenths == 0 && l.AnswerTenths == 0 {
				continue
			}
			sum = new(targetSum)
			t[l.Target] = sum
		}
		sum.tenths += uint64(l.RequestTenths)
		if l.AnswerTenths > 0 {
			sum.addAnswers(&l)
		}
	}
}

func (t targetSums) remove(loads Loads) {
	for _, l := range loads {
		sum := t[l.Target]
		if sum == nil {
			continue
		}
		sum.tenths -= uint64(l.RequestTenths)
		if l.AnswerTenths > 0 {
			sum.removeAnswers(&l)
		}
		if sum.tenths == 0 && sum.answers == 0 {
			delete(t, l.Target)
		}
	}
}

func (s *targetSum) addAnswers(l *Load) {
	s.answers += uint64(l.AnswerTenths)
	s.failed += l.failedTenths()
	s.latency += l.latencyTenths()
	for set := l.Callers; set != 0; set &= set - 1 {
		s.callers[bits.TrailingZeros16(set)]++
	}
}

func (s *targetSum) removeAnswers(l *Load) {
	s.answers -= uint64(l.AnswerTenths)
	s.failed -= l.failedTenths()
	s.latency -= l.latencyTenths()
	for set := l.Callers; set != 0; set &= set - 1 {
		s.callers[bits.TrailingZeros16(set)]--
	}
}

// failedTenths returns FailedTenths, limited to AnswerTenths in case of an incorrect
// sender.
func (l *Load) failedTenths() uint64 { return uint64(min(l.FailedTenths, l.AnswerTenths)) }

// latencyTenths returns the sum of the latencies of the answers that did not fail, in
// tenths times milliseconds.
func (l *Load) latencyTenths() uint64 {
	return uint64(l.LatencyMS) * (uint64(l.AnswerTenths) - l.failedTenths())
}

// load returns the sum in the form that the router uses.
func (s *targetSum) load() baobabstep.TargetLoad {
	load := baobabstep.TargetLoad{Requests: float64(s.tenths) / tenthsPerRequest}
	if s.answers == 0 {
		return load
	}
	load.Answers, load.Failed = float64(s.answers)/tenthsPerRequest, float64(s.failed)/tenthsPerRequest
	if succeeded := s.answers - s.failed; succeeded > 0 {
		load.MeanLatency = time.Duration(s.latency) * time.Millisecond / time.Duration(succeeded)
	}
	for bit, vms := range s.callers {
		if vms > 0 {
			load.Callers |= 1 << bit
		}
	}
	return load
}

// setLoadsCounted adds the loads of a peer to loadSums, or removes them.
func (t *PeerTable) setLoadsCounted(p *peer, counted bool) {
	switch {
	case p.loadsCounted == counted:
		return
	case counted:
		t.loadSums.add(p.last.Loads)
	default:
		t.loadSums.remove(p.last.Loads)
	}
	p.loadsCounted = counted
	for i := range p.last.Loads {
		t.changedTargets[p.last.Loads[i].Target] = struct{}{}
	}
	t.markReportsChanged(p)
}

// markReportsChanged marks the targets in a peer's reports as changed.
func (t *PeerTable) markReportsChanged(p *peer) {
	for id := range p.reports {
		t.changedTargets[id] = struct{}{}
	}
}

func (l Load) hasDetails() bool { return l.hasSilence() || l.AnswerTenths > 0 }

func (l Load) hasSilence() bool { return l.Unanswered > 0 || l.UnansweredOpens > 0 || l.HeardMS > 0 }

// MarkLoadsChanged marks targets as changed, so that the next call of Loads includes them.
func (t *PeerTable) MarkLoadsChanged(targets []baobabstep.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range targets {
		t.changedTargets[id] = struct{}{}
	}
}

// Loads returns the loads that the live VMs report, for the targets whose load may have
// changed since the previous call: the requests and answers of all VMs, and the silence
// reports of those of the own data centre. A target that is silent for VMs of other data
// centres may only be unreachable from there. The value is zero for a target that no VM
// reports any more.
func (t *PeerTable) Loads(now time.Time) map[baobabstep.TargetID]baobabstep.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.last != nil {
			t.setLoadsCounted(p, t.isLive(now, p))
		}
	}
	loads := make(map[baobabstep.TargetID]baobabstep.TargetLoad, len(t.changedTargets))
	for id := range t.changedTargets {
		if sum := t.loadSums[id]; sum != nil {
			loads[id] = sum.load()
		} else {
			loads[id] = baobabstep.TargetLoad{}
		}
	}
	clear(t.changedTargets)
	for _, p := range t.peers {
		if !p.loadsCounted || p.last.DataCentre != t.options.DataCentre {
			continue
		}
		for id, r := range p.reports {
			if sum, changed := loads[id]; changed {
				r.addTo(&sum, p)
				loads[id] = sum
			}
		}
	}
	return loads
}

// maxHeardMS is the largest HeardMS.
const maxHeardMS = 1<<16 - 1

// maxLeftMS is the largest LastUnansweredMS that is sent. Older flows have no effect, and
// larger values would take a third byte.
const maxLeftMS = 1<<14 - 1

// maxCount is the largest count of flows that a Load can hold.
const maxCount = 255

// tenthsPerRequest is the number of units of Load.RequestTenths per request.
const tenthsPerRequest = 10

// MakeLoads returns the loads for a heartbeat, sorted by target. It is limited to most
// targets. Those that leave flows unanswered are preferred, then those that other VMs
// report as silent, then those with the most failures, answers and requests.
func MakeLoads(now time.Time, own []baobabstep.TargetLoad, limit int) Loads {
	loads := make(Loads, 0, len(own))
	for _, l := range own {
		load := Load{
			Target: l.Target, RequestTenths: uint32(l.Requests * tenthsPerRequest),
			Unanswered: sentCount(l.Unanswered), UnansweredOpens: sentCount(l.UnansweredOpens), NotRetransmitted: sentCount(l.NotRetransmitted),
		}
		if l.ReportedSilent && !l.HeardAt.IsZero() {
			load.HeardMS = uint16(min(max(1, now.Sub(l.HeardAt).Milliseconds()), maxHeardMS))
		}
		if load.Unanswered > 0 {
			load.LastUnansweredMS = uint16(min(max(0, now.Sub(l.LastUnansweredAt).Milliseconds()), maxLeftMS))
			if !l.RequestUnansweredAt.IsZero() {
				load.RequestSilenceMS = uint16(min(max(0, now.Sub(l.RequestUnansweredAt).Milliseconds()), maxLeftMS-1)) + 1
			}
		}
		if l.Answers > 0 {
			load.AnswerTenths, load.FailedTenths = toTenths(l.Answers), toTenths(min(l.Failed, l.Answers))
			load.LatencyMS = uint16(min(l.MeanLatency.Milliseconds(), math.MaxUint16))
			load.Callers = l.Callers
		}
		if load.RequestTenths > 0 || load.hasDetails() {
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(
			cmp.Compare(b.Unanswered, a.Unanswered), cmp.Compare(b.HeardMS, a.HeardMS), cmp.Compare(b.FailedTenths, a.FailedTenths),
			cmp.Compare(b.AnswerTenths, a.AnswerTenths), cmp.Compare(b.RequestTenths, a.RequestTenths), cmp.Compare(a.Target, b.Target),
		)
	})
	loads = loads[:min(len(loads), limit)]
	sortLoads(loads)
	return loads
}

// maxSentCount is the largest count of flows that is sent. Larger ones have no additional
// effect, and would take a second byte.
const maxSentCount = 100

func sentCount(flows int) uint8 { return uint8(min(flows, maxSentCount)) }

// toTenths converts a count into tenths, limited to the range of the encoding.
func toTenths(count float64) uint16 { return uint16(min(count*tenthsPerRequest, math.MaxUint16)) }

func sortLoads(l Loads) {
	slices.SortFunc(l, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
}

var (
	_ encoding.BinaryMarshaler   = Loads(nil)
	_ encoding.BinaryUnmarshaler = (*Loads)(nil)
)

// MarshalBinary implements [encoding.BinaryMarshaler]. A load is encoded as two varints:
// the difference to the previous target, and twice the tenths, plus 1 if details follow.
// The details are their length in one byte and their values as varints; receivers ignore
// values that they do not know. A target with a random 40-bit identifier takes 6 to 7
// bytes, compared to 16 in CBOR, and 7 to 10 more with details. The loads must be sorted
// by target. Errors: CodeInternal.
func (l Loads) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, len(l)*typicalLoadBytes)
	last := baobabstep.TargetID(0)
	for i, load := range l {
		if i > 0 && load.Target <= last {
			return nil, baobabstep.Errorf(baobabstep.CodeInternal, "heartbeat.loads", "got target %x after %x, want ascending ones", uint64(load.Target), uint64(last))
		}
		b = binary.AppendUvarint(b, uint64(load.Target-last))
		last = load.Target
		doubled := uint64(load.RequestTenths) << 1
		if !load.hasDetails() {
			b = binary.AppendUvarint(b, doubled)
			continue
		}
		b = binary.AppendUvarint(b, doubled|1)
		b = load.appendDetails(b)
	}
	return b, nil
}

// appendDetails appends the details with their length. Trailing zero values are omitted.
func (l Load) appendDetails(b []byte) []byte {
	values := l.details()
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

// numDetails is the number of values in the details.
const numDetails = 10

// details returns the values of the details in their order on the wire.
func (l Load) details() [numDetails]uint16 {
	return [...]uint16{uint16(l.Unanswered), uint16(l.UnansweredOpens), l.HeardMS, l.AnswerTenths, l.FailedTenths, l.LatencyMS, l.Callers, l.LastUnansweredMS, uint16(l.NotRetransmitted), l.RequestSilenceMS}
}

// setDetails sets the values of the details, given in their order on the wire.
func (l *Load) setDetails(v [numDetails]uint16) {
	l.Unanswered, l.UnansweredOpens, l.NotRetransmitted = uint8(min(v[0], maxCount)), uint8(min(v[1], maxCount)), uint8(min(v[8], maxCount))
	l.HeardMS, l.AnswerTenths, l.FailedTenths, l.LatencyMS, l.Callers, l.LastUnansweredMS = v[2], v[3], v[4], v[5], v[6], v[7]
	l.RequestSilenceMS = v[9]
}

// UnmarshalBinary implements [encoding.BinaryUnmarshaler]. Errors: CodeMalformed.
func (l *Loads) UnmarshalBinary(b []byte) error {
	list := make(Loads, 0, min(len(b)/2, maxLoads))
	last := baobabstep.TargetID(0)
	for len(b) > 0 {
		if len(list) == maxLoads {
			return malformedLoads("more than %d loads", maxLoads)
		}
		var load Load
		var err error
		if load, b, err = nextLoad(b); err != nil {
			return err
		}
		load.Target += last
		if len(list) > 0 && load.Target <= last {
			return malformedLoads("target %x after %x, want ascending ones", uint64(load.Target), uint64(last))
		}
		last = load.Target
		list = append(list, load)
	}
	*l = list
	return nil
}

// nextLoad decodes the first load in b. Its target is the difference to the previous one.
func nextLoad(b []byte) (load Load, rest []byte, err error) {
	distance, n := binary.Uvarint(b)
	if n <= 0 {
		return load, nil, malformedLoads("%d bytes without a valid target", len(b))
	}
	b = b[n:]
	doubled, n := binary.Uvarint(b)
	if n <= 0 || doubled>>1 > math.MaxUint32 {
		return load, nil, malformedLoads("%d bytes without a valid number of requests", len(b))
	}
	b = b[n:]
	load.Target, load.RequestTenths = baobabstep.TargetID(distance), uint32(doubled>>1)
	if doubled&1 == 0 {
		return load, b, nil
	}
	if len(b) == 0 || len(b) <= int(b[0]) {
		return load, nil, malformedLoads("%d bytes of details, want their length and as many bytes", len(b))
	}
	details, rest := b[1:1+int(b[0])], b[1+int(b[0]):]
	return load, rest, load.decodeDetails(details)
}

// decodeDetails decodes the details in b. It ignores the additional values of later
// versions, which follow the known ones.
func (l *Load) decodeDetails(b []byte) error {
	var values [numDetails]uint16
	for i := range values {
		if len(b) == 0 {
			break
		}
		v, n := binary.Uvarint(b)
		if n <= 0 || v > math.MaxUint16 {
			return malformedLoads("%d bytes without a valid value of the details", len(b))
		}
		values[i] = uint16(v)
		b = b[n:]
	}
	l.setDetails(values)
	return nil
}

// typicalLoadBytes is the encoded size of most loads, in bytes.
const typicalLoadBytes = 8

func malformedLoads(format string, args ...any) error {
	return baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.loads", "got "+format, args...)
}
