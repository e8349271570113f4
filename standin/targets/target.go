package targets

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"baobabstep"
	"baobabstep/io/wire"
	"baobabstep/standin/exchange"
)

const (
	// leaveGrace is how long new work may come after a target began to leave.
	leaveGrace = 3 * time.Second
	// idleTimeout ends flows whose caller is long gone.
	idleTimeout   = 60 * time.Second
	coldSlowdown  = 4
	maxTombstones = 10000
)

// target is one back end. Its lock guards everything below it.
type target struct {
	process  *Process
	settings TargetSettings

	lock     sync.Mutex
	id       baobabstep.TargetID
	service  baobabstep.ServiceID
	socket   *net.UDPConn
	done     chan struct{}
	random   *rand.Rand
	flows    map[baobabstep.FlowKey]*flow
	silent   map[baobabstep.FlowKey]bool
	running  map[attempt]*time.Timer
	refused  map[attempt]bool
	started  time.Time
	leaving  time.Time
	lying    bool
	slow     float64
	report   baobabstep.TargetReport
	reported time.Time
	meanTime time.Duration
	buf      []byte
	// from is where the packet in hand came from.
	from netip.AddrPort
}

type flow struct {
	seq      uint32
	pushed   uint64
	nextPush time.Time
	heard    time.Time
	version  uint64
}

type attempt struct {
	key    baobabstep.FlowKey
	number uint16
}

func newTarget(p *Process, s TargetSettings, random *rand.Rand) *target {
	return &target{
		process:  p,
		settings: s,
		id:       baobabstep.MakeTargetID(s.Name),
		service:  serviceID(s.Service),
		random:   random,
		slow:     1,
	}
}

// start opens the target with no memory of what it was before.
func (t *target) start() error {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.socket != nil {
		return nil
	}
	socket, err := open(t.settings.Address)
	if err != nil {
		return errors.Wrapf(err, "target %s", t.settings.Name)
	}
	t.socket = socket
	t.done = make(chan struct{})
	t.flows = make(map[baobabstep.FlowKey]*flow)
	t.silent = make(map[baobabstep.FlowKey]bool)
	t.running = make(map[attempt]*time.Timer)
	t.refused = make(map[attempt]bool)
	t.started = time.Now()
	t.leaving = time.Time{}
	t.reported = time.Time{}
	go func(done chan struct{}) {
		defer close(done)
		receive(socket, t.handle)
	}(t.done)
	return nil
}

// stop ends the target as a crash does: flows and requests are gone.
func (t *target) stop() {
	t.lock.Lock()
	socket, done := t.socket, t.done
	t.socket = nil
	for _, timer := range t.running {
		timer.Stop()
	}
	t.flows, t.running = nil, nil
	t.lock.Unlock()
	if socket != nil {
		_ = socket.Close()
		<-done
	}
}

func (t *target) apply(f Fault) error {
	switch f.Action {
	case "start":
		return t.start()
	case "die":
		t.stop()
		return nil
	case "reassign":
		t.stop()
		t.lock.Lock()
		t.service, t.id = serviceID(f.ToService), baobabstep.MakeTargetID(f.ToName)
		t.settings.Service, t.settings.Name = f.ToService, f.ToName
		t.lock.Unlock()
		return t.start()
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	switch f.Action {
	case "drain":
		t.leaving = time.Now()
	case "lie":
		t.lying = true
	case "truth":
		t.lying = false
	case "slow":
		t.slow = f.Slow
	case "silent":
		for key := range t.flows {
			if t.random.Float64() < f.Share {
				delete(t.flows, key)
				t.silent[key] = true
			}
		}
	default:
		return errors.Newf("action: got %q", f.Action)
	}
	return nil
}

// handle serves one packet.
func (t *target) handle(p *baobabstep.Packet, from netip.AddrPort) {
	if !t.process.reaches(from.Addr(), t.settings.DataCentre) {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.socket == nil {
		return
	}
	t.from = from
	if p.Kind == baobabstep.KindHealth {
		t.health(p, from)
		return
	}
	if p.Service != t.service || p.Target != t.id {
		t.refuseForeign(p)
		return
	}
	switch p.Kind {
	case baobabstep.KindOpen:
		t.open(p)
	case baobabstep.KindData, baobabstep.KindProbe:
		t.data(p)
	case baobabstep.KindClose, baobabstep.KindReset:
		delete(t.flows, p.Flow)
	case baobabstep.KindRequest:
		t.request(p)
	case baobabstep.KindCancel:
		t.cancel(p)
	}
}

// refuseForeign answers a packet that names another service or target. It
// arrives while VMs act on an old configuration; that the target refuses it is
// the last line of defence, so it is an answer and no fault of the run.
func (t *target) refuseForeign(p *baobabstep.Packet) {
	t.process.countWrong(func(w *wrongs) { w.misrouted++ })
	switch p.Kind {
	case baobabstep.KindRequest, baobabstep.KindCancel:
		t.reply(p, baobabstep.KindRefusal, baobabstep.CodeWrongService)
	case baobabstep.KindReset, baobabstep.KindClose:
	default:
		t.reply(p, baobabstep.KindReset, baobabstep.CodeWrongService)
	}
}

// reply sends an answer to p without payload through the fabric.
func (t *target) reply(p *baobabstep.Packet, kind baobabstep.Kind, code baobabstep.Code) {
	out := *p
	out.Kind, out.Code, out.Payload = kind, code, nil
	t.send(&out)
}

func (t *target) send(p *baobabstep.Packet) {
	t.sendTo(p, t.process.settings.Fronts[t.settings.DataCentre])
}

func (t *target) sendTo(p *baobabstep.Packet, to netip.AddrPort) {
	p.FromTarget = true
	b, err := wire.Append(t.buf[:0], p, wire.Key{})
	if err != nil || t.socket == nil {
		return
	}
	t.buf = b
	_, _ = t.socket.WriteToUDPAddrPort(b, to)
}

// newWork tells whether the target takes new work, and counts it as a fault if
// it came long after the target began to leave.
func (t *target) newWork(kind baobabstep.Kind) bool {
	if t.leaving.IsZero() {
		return true
	}
	if late := time.Since(t.leaving); late > leaveGrace {
		l := LateWork{Target: t.settings.Name, Kind: kind.String(), From: t.from, AfterMS: late.Milliseconds()}
		t.process.countWrong(func(w *wrongs) { w.lateWork = append(w.lateWork, l) })
	}
	return false
}

func (t *target) open(p *baobabstep.Packet) {
	now := time.Now()
	if f := t.flows[p.Flow]; f != nil {
		f.heard = now
		t.reply(p, baobabstep.KindOpened, baobabstep.CodeOK)
		return
	}
	switch {
	case t.silent[p.Flow]:
		return
	case !t.newWork(p.Kind):
		t.reply(p, baobabstep.KindReset, baobabstep.CodeTargetLeaving)
		return
	case len(t.flows) >= t.settings.Connections:
		t.reply(p, baobabstep.KindReset, baobabstep.CodeNoCapacity)
		return
	}
	interval := t.pushInterval()
	first := now.Add(time.Duration(t.random.Int64N(int64(interval))))
	t.flows[p.Flow] = &flow{heard: now, nextPush: first, version: p.Version}
	t.reply(p, baobabstep.KindOpened, baobabstep.CodeOK)
}

func (t *target) pushInterval() time.Duration {
	return max(time.Millisecond, time.Duration(t.process.settings.PushIntervalMS)*time.Millisecond)
}

func (t *target) data(p *baobabstep.Packet) {
	f := t.flows[p.Flow]
	switch {
	case t.silent[p.Flow]:
		return
	case f == nil:
		t.reply(p, baobabstep.KindReset, baobabstep.CodeUnknownFlow)
		return
	}
	f.heard = time.Now()
	f.version = p.Version
	if p.Kind == baobabstep.KindProbe {
		t.reply(p, baobabstep.KindProbeAck, baobabstep.CodeOK)
		return
	}
	kind, number, _, ok := exchange.ParseFlowPayload(p.Payload)
	if !ok || kind != exchange.Keepalive {
		return
	}
	t.sendData(p.Flow, f, exchange.FlowPayload(exchange.Ack, number, t.id))
}

func (t *target) sendData(key baobabstep.FlowKey, f *flow, payload []byte) {
	f.seq++
	t.send(&baobabstep.Packet{
		Kind:    baobabstep.KindData,
		Flow:    key,
		Seq:     f.seq,
		Service: t.service,
		Target:  t.id,
		Version: f.version,
		Payload: payload,
	})
}

func (t *target) push(now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for key, f := range t.flows {
		if now.Sub(f.heard) > idleTimeout {
			delete(t.flows, key)
			continue
		}
		if now.Before(f.nextPush) {
			continue
		}
		f.nextPush = now.Add(t.pushInterval())
		f.pushed++
		t.sendData(key, f, exchange.FlowPayload(exchange.Push, f.pushed, t.id))
	}
}

// request runs p in a free slot, or refuses it.
func (t *target) request(p *baobabstep.Packet) {
	a := attempt{p.Flow, p.Attempt}
	switch {
	case t.refused[a]:
		t.reply(p, baobabstep.KindRefusal, baobabstep.CodeCancelled)
		return
	case !t.newWork(p.Kind):
		t.reply(p, baobabstep.KindRefusal, baobabstep.CodeTargetLeaving)
		return
	case len(t.running) >= t.settings.Slots:
		t.reply(p, baobabstep.KindRefusal, baobabstep.CodeShed)
		return
	}
	t.process.countRun(p.Flow.Number, p.Idempotent)
	if _, twice := t.running[a]; twice {
		return
	}
	took := t.serviceTime()
	late := p.Timeout > 0 && took > p.Timeout
	if late {
		took = p.Timeout
	}
	request := *p
	request.Payload = append([]byte(nil), p.Payload...)
	t.running[a] = time.AfterFunc(took, func() { t.finish(a, &request, took, late) })
}

// serviceTime draws the time that one request takes.
func (t *target) serviceTime() time.Duration {
	mean := float64(t.process.settings.ServiceTimeMS) * float64(time.Millisecond)
	drawn := mean * min(5, 0.5+0.5*t.random.ExpFloat64())
	cold := time.Duration(t.process.settings.ColdStartMS) * time.Millisecond
	if age := time.Since(t.started); age < cold {
		drawn *= 1 + (coldSlowdown-1)*float64(cold-age)/float64(cold)
	}
	return time.Duration(drawn * t.slow)
}

// finish answers a request, or gives it up at its deadline: it may have run.
func (t *target) finish(a attempt, p *baobabstep.Packet, took time.Duration, late bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.running[a] == nil {
		return
	}
	delete(t.running, a)
	t.meanTime += (took - t.meanTime) / 8
	if late {
		t.reply(p, baobabstep.KindRefusal, baobabstep.CodeOutcomeUnknown)
		return
	}
	answer := exchange.Answer(p.Flow.Number, t.service, p.Payload)
	parts := exchange.Parts(len(answer))
	for i := range parts {
		out := *p
		out.Kind, out.Part, out.Parts = baobabstep.KindAnswer, uint16(i), uint16(parts)
		out.Payload = exchange.Part(answer, i)
		t.send(&out)
	}
}

// cancel ends an attempt that runs. One that has not come yet is refused when
// it comes, so that "cancelled" keeps its promise.
func (t *target) cancel(p *baobabstep.Packet) {
	a := attempt{p.Flow, p.Attempt}
	if timer := t.running[a]; timer != nil {
		timer.Stop()
		delete(t.running, a)
		t.reply(p, baobabstep.KindRefusal, baobabstep.CodeOutcomeUnknown)
		return
	}
	if len(t.refused) < maxTombstones {
		t.refused[a] = true
	}
}

// health answers with a report that is up to ReportLagMS old, or a flattering
// one if the target lies.
func (t *target) health(p *baobabstep.Packet, from netip.AddrPort) {
	now := time.Now()
	lag := time.Duration(t.process.settings.ReportLagMS) * time.Millisecond
	if now.Sub(t.reported) >= lag {
		t.reported = now
		t.report = baobabstep.TargetReport{
			Healthy:     true,
			Draining:    !t.leaving.IsZero(),
			SlotsUsed:   uint32(len(t.running)),
			Connections: uint32(len(t.flows)),
			ServiceTime: t.meanTime,
		}
	}
	out := *p
	out.Kind, out.Payload = baobabstep.KindHealthReport, nil
	out.Service, out.Target = t.service, t.id
	out.Report = t.report
	if t.lying {
		out.Report = baobabstep.TargetReport{Healthy: true, ServiceTime: time.Microsecond}
	}
	t.sendTo(&out, from)
}
