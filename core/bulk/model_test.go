package bulk

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// The model has one VM, whose link drops packets that do not fit into its buffer, and callers
// with the retransmission timing of real callers.
const (
	modelRate    = 1.25e6
	modelBuffer  = 64 << 10
	modelStep    = time.Millisecond
	roundTrip    = 7 * time.Millisecond
	segmentBytes = 1270
	uploadLength = 34
	objective    = 1200 * time.Millisecond
)

type modelPacket struct {
	caller *modelCaller
	// number is the number of a data segment, or firstPacket or closePacket.
	number, bytes int
}

const (
	firstPacket = -1
	closePacket = -2
)

// modelCaller sends one request of length segments.
type modelCaller struct {
	key                baobabstep.FlowKey
	length             int
	startedAt, endedAt time.Time
	openedAt           time.Time
	transmissions      int
	refused, opened    bool
	retransmission     time.Duration
	sentAt, ackedAt    []time.Time
	next, acked        int
}

type model struct {
	now     time.Time
	gate    *Gate
	useGate bool
	queue   []modelPacket
	queued  int
	credit  float64
	load    baobabstep.LinkLoad
	callers []*modelCaller
}

func newModel(useGate bool) *model {
	return &model{now: start, gate: New(Options{BytesPerSecond: modelRate}), useGate: useGate}
}

func (m *model) startCaller(length int) {
	key := flowOf(len(m.callers), 1)
	m.callers = append(m.callers, &modelCaller{
		key: key, length: length, startedAt: m.now, retransmission: 200 * time.Millisecond,
		sentAt: make([]time.Time, length), ackedAt: make([]time.Time, length),
	})
}

func (m *model) send(c *modelCaller, number, bytes int) {
	if m.queued+bytes > modelBuffer {
		return
	}
	m.queued += bytes
	m.queue = append(m.queue, modelPacket{c, number, bytes})
}

// step advances the model by modelStep.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for _, c := range m.callers {
		if c.endedAt.IsZero() && !c.refused {
			m.transmit(c)
		}
	}
	m.credit = min(m.credit+modelRate*modelStep.Seconds(), segmentBytes+modelRate*modelStep.Seconds())
	received := 0
	for len(m.queue) > 0 && m.credit >= float64(m.queue[0].bytes) {
		p := m.queue[0]
		m.queue = m.queue[1:]
		m.credit -= float64(p.bytes)
		m.queued -= p.bytes
		received += p.bytes
		m.receive(p)
	}
	share := modelStep.Seconds() / loadDelay.Seconds()
	m.load.Received += share * (float64(received)/(modelRate*modelStep.Seconds()) - m.load.Received)
	for _, r := range m.gate.Release(m.now, m.load) {
		m.open(m.find(r.Segment.Flow), r.Decision)
	}
}

func (m *model) find(key baobabstep.FlowKey) *modelCaller {
	return m.callers[slices.IndexFunc(m.callers, func(c *modelCaller) bool { return c.key == key })]
}

// transmit sends the packets that are due at a caller.
func (m *model) transmit(c *modelCaller) {
	if !c.opened || m.now.Before(c.openedAt) {
		switch waited := m.now.Sub(c.startedAt); {
		case waited >= openingTimeout && !c.opened:
			c.refused = true
		case c.transmissions < len(retransmissionOffsets) && waited >= retransmissionOffsets[c.transmissions]:
			c.transmissions++
			m.send(c, firstPacket, 70)
		}
		return
	}
	inFlight := 0
	for i := range c.next {
		switch {
		case !c.ackedAt[i].IsZero() && !m.now.Before(c.ackedAt[i]):
			continue
		case m.now.Sub(c.sentAt[i]) >= c.retransmission:
			c.retransmission = min(2*c.retransmission, 1600*time.Millisecond)
			c.sentAt[i] = m.now
			m.send(c, i, segmentBytes)
		}
		inFlight++
	}
	for ; inFlight < 16 && c.next < c.length; inFlight++ {
		c.sentAt[c.next] = m.now
		m.send(c, c.next, segmentBytes)
		c.next++
	}
}

// receive handles a packet at the VM.
func (m *model) receive(p modelPacket) {
	c := p.caller
	bulk := m.useGate && c.length > 1
	switch {
	case p.number == closePacket:
		m.gate.Complete(c.key)
	case p.number == firstPacket && !c.opened && bulk:
		segment := &baobabstep.Segment{Flow: c.key, Seq: 1, Acked: uint32(c.transmissions - 1), Raw: make([]byte, 31)}
		m.open(c, m.gate.Offer(m.now, segment, Route{MeanSize: uploadLength * 1200}, m.load))
	case p.number == firstPacket && !c.opened:
		m.open(c, Admitted)
	case p.number >= 0:
		m.receiveData(c, p.number, bulk)
	}
}

func (m *model) open(c *modelCaller, d Decision) {
	switch {
	case d == Admitted:
		c.opened, c.openedAt = true, m.now.Add(roundTrip)
	case d.Refused():
		c.refused = true
	}
}

func (m *model) receiveData(c *modelCaller, number int, bulk bool) {
	if bulk && c.endedAt.IsZero() {
		m.gate.Payload(m.now, c.key)
	}
	if !c.ackedAt[number].IsZero() {
		return
	}
	c.ackedAt[number] = m.now.Add(roundTrip)
	if c.acked++; c.acked == c.length {
		c.endedAt = m.now
		m.send(c, closePacket, 70)
	}
}

// summary holds the results of the requests of one length.
type summary struct {
	requests, served int
	// inTime is the number of requests served within objective.
	inTime int
	// p99 is the 99th percentile of the durations of served requests.
	p99 time.Duration
}

func (m *model) summarise(length int) (s summary) {
	var durations []time.Duration
	for _, c := range m.callers {
		if c.length != length {
			continue
		}
		s.requests++
		if !c.endedAt.IsZero() {
			durations = append(durations, c.endedAt.Sub(c.startedAt))
		}
	}
	slices.Sort(durations)
	s.served = len(durations)
	s.inTime, _ = slices.BinarySearch(durations, objective)
	s.p99 = durations[len(durations)*99/100]
	return s
}

// run simulates a fixed schedule of arrivals.
func (m *model) run() {
	for _, row := range []struct {
		duration time.Duration
		// uploadEvery and smallEvery are the intervals between arrivals.
		uploadEvery, smallEvery time.Duration
	}{
		{time.Second, 400 * time.Millisecond, 10 * time.Millisecond},
		{4 * time.Second, 24 * time.Millisecond, 8 * time.Millisecond},
		{3 * time.Second, 400 * time.Millisecond, 10 * time.Millisecond},
	} {
		for t := time.Duration(0); t < row.duration; t += modelStep {
			if t%row.uploadEvery == 0 {
				m.startCaller(uploadLength)
			}
			if t%row.smallEvery == 0 {
				m.startCaller(1)
			}
			m.step()
		}
	}
}

// Guards against uploads that congest the VM's link, so that segments are lost, the link
// carries retransmissions, and small requests wait for seconds.
func TestFullLink(t *testing.T) {
	ungated, gated := newModel(false), newModel(true)
	ungated.run()
	gated.run()
	t.Run("without a gate", func(t *testing.T) {
		small := ungated.summarise(1)
		qt.Check(t, small.p99 > time.Second, qt.IsTrue)
	})
	t.Run("small requests", func(t *testing.T) {
		small := gated.summarise(1)
		qt.Check(t, small.served, qt.Equals, small.requests)
		qt.Check(t, small.p99 < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", small.p99))
	})
	t.Run("uploads", func(t *testing.T) {
		uploads, worse := gated.summarise(uploadLength), ungated.summarise(uploadLength)
		qt.Check(t, uploads.p99 < objective, qt.IsTrue, qt.Commentf("%v", uploads.p99))
		// The link carries at most 28 uploads per second in addition to the small requests.
		const bound = modelRate * 4 * 9 / 10 / (uploadLength * segmentBytes)
		qt.Check(t, float64(uploads.inTime) >= 0.8*bound, qt.IsTrue, qt.Commentf("%d of at most %v", uploads.inTime, bound))
		qt.Check(t, uploads.inTime > 2*worse.inTime, qt.IsTrue, qt.Commentf("%d, %d without a gate", uploads.inTime, worse.inTime))
	})
}

func flowOf(caller, port int) baobabstep.FlowKey {
	address := netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)})
	return baobabstep.FlowKey{Caller: netip.AddrPortFrom(address, uint16(port)), Service: netip.MustParseAddrPort("198.18.0.2:443")}
}
