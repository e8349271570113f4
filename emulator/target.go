package emulator

import (
	"net/netip"
	"time"

	"baobabstep"
)

const (
	// acceptTime is what a target takes to accept a flow.
	acceptTime = 300 * time.Microsecond
	// failTime is what a target takes to answer with an error.
	failTime = time.Millisecond
	// abruptShare is the part of the requests that find a full target which it
	// resets at once.
	abruptShare = 0.09
	// errorBytes is the size of an answer that says that a request failed.
	errorBytes = 160
	// headBytes is what precedes the content of an answer.
	headBytes = 170
	// registrationLapse is how long the registration of a target that says
	// nothing stays.
	registrationLapse = 3600 * time.Millisecond
)

// fault is what is wrong with a target that answers.
type fault struct {
	// kind is one of the kinds of trouble that concern single requests.
	kind Kind
	// share is the part of the requests that it concerns.
	share float64
}

// target is one run of a target.
type target struct {
	world   *World
	id      baobabstep.TargetID
	life    uint64
	service *Service
	site    int

	up bool
	// dark targets say nothing while they are down, others reset.
	dark      bool
	draining  bool
	leavingAt time.Duration
	coldUntil time.Duration
	// slow is by how much longer work takes.
	slow  float64
	fault fault

	// holds are the flows that this run accepted; true once they are open.
	holds map[*flow]bool
	busy  int
	queue []*job
	// waiting are the requests in the queue that are not shed.
	waiting int
	// hung are the requests that hold a slot and will not be answered.
	hung map[*flow]*job

	// newFlows are the times of new flows in the last second, while it is cold.
	newFlows []time.Duration

	// ran is the time that slots were busy.
	ran time.Duration
}

// job is a request at a target.
type job struct {
	flow    *flow
	attempt *attempt
	since   time.Duration
	// dropped is set once the caller has left, shed if the target was full.
	dropped, shed bool
}

func (t *target) registration() baobabstep.Registration {
	return baobabstep.Registration{
		ID: t.id, StartedMS: t.life, Service: t.service.Name, DataCentre: t.world.deployment.DataCentres[t.site].Name,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(t.site + 1), byte(t.id >> 8), byte(t.id)}), 8000),
		Slots:   t.service.Slots, Draining: t.draining, Release: "v1",
		WarmupLeft: max(0, t.coldUntil-t.world.now),
	}
}

// receive takes in a segment of a caller.
func (t *target) receive(p *packet) {
	if !t.up {
		if !t.dark && p.segment.Kind != baobabstep.KindReset {
			t.reset(p.flow)
		}
		return
	}
	switch p.segment.Kind {
	case baobabstep.KindOpen:
		t.accept(p)
	case baobabstep.KindReset, baobabstep.KindClose:
		t.forget(p.flow)
	default:
		t.data(p)
	}
}

func (t *target) accept(p *packet) {
	if _, known := t.holds[p.flow]; !known {
		t.holds[p.flow] = false
		t.noteNew()
	}
	t.reply(p.flow, acceptTime, func() { p.flow.accepted(t, p.segment.Token) })
}

// leave makes the target say that it leaves.
func (t *target) leave() { t.draining, t.leavingAt = true, t.world.now }

// noteNew notes a new flow, and whether it breaks a promise.
func (t *target) noteNew() {
	now, promises := t.world.now, &t.world.result.Promises
	if t.draining && now-t.leavingAt > leavingBound {
		promises.LeavingLate++
	}
	if since, evacuated := t.world.evacuated[t.site]; evacuated {
		promises.Evacuated++
		promises.EvacuatedMS = max(promises.EvacuatedMS, Duration(float64(now-since)/float64(time.Millisecond)))
		if now-since > evacuationBound {
			promises.EvacuatedLate++
		}
	}
	if t.service.ColdPerSecond == 0 || now >= t.coldUntil {
		t.newFlows = nil
		return
	}
	promises.Cold++
	t.newFlows = append(t.newFlows, now)
	for now-t.newFlows[0] >= time.Second {
		t.newFlows = t.newFlows[1:]
	}
	if got := float64(len(t.newFlows)); got > t.service.ColdPerSecond*coldOvershoot+coldSlack {
		promises.ColdOver++
	}
	promises.ColdMost = max(promises.ColdMost, len(t.newFlows))
}

// data takes in a segment that carries a request, or an acknowledgement.
func (t *target) data(p *packet) {
	if _, known := t.holds[p.flow]; !known {
		t.reset(p.flow)
		return
	}
	t.holds[p.flow] = true
	if p.attempt == nil {
		return
	}
	t.reply(p.flow, 0, func() { p.attempt.acknowledged = true })
	if !p.attempt.arrived {
		p.attempt.arrived = true
		t.begin(&job{flow: p.flow, attempt: p.attempt, since: t.world.now})
	}
}

// begin runs a request or lets it wait. A full target sheds it, but says so only
// when its turn would have come, after the time that a whole queue takes.
func (t *target) begin(j *job) {
	if t.busy < t.service.Slots {
		t.run(j)
		return
	}
	if t.waiting == t.service.Queue {
		t.world.result.Tries.Shed++
		if t.world.luck.Float64() < abruptShare {
			t.forget(j.flow)
			t.reset(j.flow)
			return
		}
		j.shed = true
	} else {
		t.waiting++
	}
	t.queue = append(t.queue, j)
}

// fail lets a request fail as the target's fault says. One that hangs holds its
// slot until its caller gives up.
func (t *target) fail(j *job) {
	switch t.fault.kind {
	case KindTargetHang:
		t.busy++
		t.hung[j.flow] = j
	case KindTargetReset:
		t.forget(j.flow)
		t.reset(j.flow)
	case KindTargetShed:
		t.reply(j.flow, failTime, func() { j.flow.answered(j.attempt, CauseShed, errorBytes) })
	default:
		t.world.result.Tries.Errors++
		t.reply(j.flow, failTime, func() { j.flow.answered(j.attempt, CauseError, errorBytes) })
	}
}

func (t *target) run(j *job) {
	if t.world.luck.Float64() < t.fault.share {
		t.fail(j)
		return
	}
	t.busy++
	now := t.world.now
	work := time.Duration(j.attempt.request.work * t.slow * float64(time.Millisecond))
	if now < t.coldUntil {
		work = time.Duration(float64(work) * t.service.ColdFactor)
	}
	j.attempt.waited, j.attempt.slowed = now-j.since, t.slow > 1
	life := t.life
	t.world.after(work, func() {
		if t.life != life || !t.up {
			return
		}
		t.busy--
		t.ran += work
		t.reply(j.flow, 0, func() { j.flow.answered(j.attempt, CauseNone, headBytes+j.attempt.request.answer) })
		t.next()
	})
}

// next runs requests that wait, the longest first, while there are slots.
func (t *target) next() {
	for len(t.queue) > 0 && t.busy < t.service.Slots {
		j := t.queue[0]
		t.queue = t.queue[1:]
		if !j.shed {
			t.waiting--
		}
		switch {
		case j.dropped:
		case j.shed:
			t.reply(j.flow, 0, func() { j.flow.answered(j.attempt, CauseShed, errorBytes) })
		default:
			t.run(j)
		}
	}
}

// forget drops a flow, and its request if that has not begun.
func (t *target) forget(f *flow) {
	delete(t.holds, f)
	for _, j := range t.queue {
		if j.flow == f {
			j.dropped = true
		}
	}
	if t.hung[f] != nil {
		delete(t.hung, f)
		t.busy--
		t.next()
	}
}

// reply does what the arrival of a packet at a flow's caller does. A packet that
// is lost comes when it is sent again.
func (t *target) reply(f *flow, after time.Duration, do func()) {
	delay, ok := t.world.links.toCaller(t.site, f.caller.site)
	if !ok {
		if t.world.links.cut[t.site] || t.world.links.cut[f.caller.site] {
			return
		}
		delay = firstCopy + t.world.deployment.Links.CallerMS.D()
	}
	t.world.after(after+delay, do)
}

// reset tells a caller that the target does not hold its flow.
func (t *target) reset(f *flow) {
	t.reply(f, 0, func() { f.ended(CauseGone) })
}

// crash ends the run: flows and requests are gone.
func (t *target) crash(dark bool) {
	t.up, t.dark = false, dark
	t.holds = make(map[*flow]bool)
	t.hung = make(map[*flow]*job)
	t.queue, t.busy, t.waiting = nil, 0, 0
	t.life++
}

// start begins a run.
func (t *target) start(cold bool) {
	t.up, t.dark, t.draining = true, false, false
	if cold {
		t.coldUntil, t.newFlows = t.world.now+t.service.ColdMS.D(), nil
	}
}
