package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/mix"
	"baobabstep/core/token"
)

const (
	// tickInterval is that of a VM, and troubleInterval the least time between
	// two heartbeats about targets in trouble, as in package entry.
	tickInterval    = 100 * time.Millisecond
	troubleInterval = 20 * time.Millisecond
	// holdTime is how long a VM that has started keeps segments for its first
	// routing table, as in package entry.
	holdTime = 180 * time.Millisecond
)

// vm is one VM. Each start makes a new router and a new board.
type vm struct {
	world  *World
	site   int
	number int
	name   string
	salt   uint64
	at     netip.AddrPort

	router    *token.Router
	peerTable *heartbeat.PeerTable
	// run counts starts; what was to come in an earlier run does not.
	run int

	// up is set while the VM has power, listening once its process has opened
	// its sockets, leaving once it is to stop.
	up, listening, leaving bool
	// poweredAt is when it got power.
	poweredAt   time.Duration
	frozenUntil time.Duration
	processor   processor
	// slow is by how much longer its work takes.
	slow   float64
	toldAt time.Duration
	// held are the segments that wait for the first routing table, until
	// holdUntil.
	held      []*packet
	holdUntil time.Duration

	// rotated and misses are the fabric's view.
	rotated bool
	misses  int
}

func newVM(w *World, site, number int) *vm {
	name := fmt.Sprintf("vm-%s-%d", w.deployment.DataCentres[site].Name, number)
	return &vm{
		world: w, site: site, number: number, name: name, salt: mix.Uint64(uint64(baobabstep.MakeVMID(name))), slow: 1,
		at:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(site + 1), byte(200 + number>>8), byte(number)}), 7000),
		processor: processor{share: w.deployment.DataCentres[site].share(number - 1)},
	}
}

// start begins a run.
func (v *vm) start() {
	v.run++
	w := v.world
	v.up, v.listening, v.leaving, v.held = true, false, false, nil
	v.poweredAt, v.frozenUntil = w.now, w.now
	v.processor.restart(w.now)
	seed := mix.Uint64(w.seed ^ v.salt ^ uint64(v.run))
	v.router = token.New(w.options(token.Options{
		DataCentre: w.deployment.DataCentres[v.site].Name, Rand: rand.New(rand.NewPCG(seed, 1)),
		ColdOvershoot: coldOvershoot, ColdSlack: coldSlack,
	}))
	v.peerTable = heartbeat.New(w.time(), heartbeat.Options{
		Self: baobabstep.MakeVMID(v.name), DataCentre: w.deployment.DataCentres[v.site].Name, Address: v.at,
		Incarnation: uint64(w.time().UnixMilli()), Seeds: w.seeds(), Rand: rand.New(rand.NewPCG(seed, 2)),
	})
	v.later(v.work(startWork), v.listen)
	v.later(time.Duration(w.luck.Int64N(int64(tickInterval))), v.tick)
}

// listen opens the sockets and asks the store.
func (v *vm) listen() {
	v.listening = true
	v.holdUntil = v.world.now + holdTime
	v.later(holdTime, v.release)
	v.work(openWork)
	v.world.store.read(v)
}

// know takes in routes and registrations.
func (v *vm) know() {
	w := v.world
	v.router.SetTable(w.time(), w.table())
	v.router.ConfirmTable(w.time())
	v.router.SetEvacuations(w.time(), w.evacuatedNames())
	v.router.SetRegistrations(w.time(), w.store.held())
	v.release()
}

// release decides about the segments that were held.
func (v *vm) release() {
	held := v.held
	v.held, v.holdUntil = nil, 0
	for _, p := range held {
		v.receive(p)
	}
}

// stop ends a run at once.
func (v *vm) stop() {
	v.up = false
	v.run++
}

// later does something in this run of the VM.
func (v *vm) later(d time.Duration, do func()) {
	run := v.run
	v.world.after(d, func() {
		if v.run == run {
			do()
		}
	})
}

// work returns how long from now on work that comes now takes.
func (v *vm) work(work time.Duration) time.Duration {
	return v.processor.do(v.world.now, time.Duration(float64(work)*v.slow))
}

// works tells whether the VM takes in packets.
func (v *vm) works(now time.Duration) bool {
	return v.up && v.listening && now >= v.frozenUntil
}

// able tells whether a VM with power could serve by now, however little it needs
// for that.
func (v *vm) able(now time.Duration) bool {
	return v.up && now >= v.frozenUntil && now >= v.poweredAt+v.processor.stretch(emptyWork)
}

func (v *vm) answersChecks(now time.Duration) bool {
	return v.works(now) && v.router.Ready() && !v.leaving
}

func (v *vm) tick() {
	if v.works(v.world.now) {
		v.later(v.work(tickWork), v.tickNow)
	}
	v.later(tickInterval, v.tick)
}

func (v *vm) tickNow() {
	now := v.world.time()
	var ended []baobabstep.OutgoingDatagram
	v.router.Tick(now, &ended)
	for i := range ended {
		if f := v.world.openFlow(ended[i].Flow); f != nil {
			v.reset(f)
		}
	}
	if v.peerTable.HeartbeatsDue(now) {
		v.sendAll(v.peerTable.Tick(now, v.own(now)))
	}
	v.takeOthers(now)
	v.tellTrouble(now)
}

func (v *vm) own(now time.Time) heartbeat.LocalState {
	return heartbeat.LocalState{Loads: v.router.Loads(now)}
}

func (v *vm) takeOthers(now time.Time) {
	v.peerTable.MarkLoadsChanged(v.router.TakeNewTargets())
	v.router.SetCongestedVMs(v.peerTable.CongestedCount(now))
	v.router.SetPeerLoads(now, v.peerTable.Loads(now), v.peerTable.LiveCounts(now))
	v.router.SetView(v.peerTable.View(now))
}

// tellTrouble announces targets in trouble at once, but not too often.
func (v *vm) tellTrouble(now time.Time) {
	if v.world.now-v.toldAt < troubleInterval {
		return
	}
	select {
	case <-v.router.AlarmsPending():
		v.toldAt = v.world.now
		v.sendAll(v.peerTable.MakeAlarms(now, v.router.TakeAlarms(now)))
	default:
	}
}

// receive decides about a segment, which takes as long as the packets that it
// stands for.
func (v *vm) receive(p *packet) {
	if v.world.now < v.holdUntil && !v.router.Ready() {
		v.held = append(v.held, p)
		return
	}
	packets := 1 + max(0, int(p.segment.Size)-1)/packetBytes
	v.later(v.work(time.Duration(packets)*segmentWork), func() {
		if !v.works(v.world.now) {
			return
		}
		now := v.world.time()
		v.world.out = v.world.out[:0]
		v.router.Handle(now, &p.segment, &v.world.out)
		for i := range v.world.out {
			v.forward(p, &v.world.out[i])
		}
		v.tellTrouble(now)
	})
}

// forward sends a segment on, or a reset back.
func (v *vm) forward(p *packet, f *baobabstep.OutgoingDatagram) {
	w := v.world
	if f.Target == 0 {
		v.reset(p.flow)
		return
	}
	t := w.targets[f.Target]
	if t == nil {
		return
	}
	on := &packet{segment: p.segment, flow: p.flow, attempt: p.attempt}
	on.segment.Token = f.Token
	w.links.carry(v.site, t.site, func() { t.receive(on) })
}

// reset tells a caller that its flow has ended.
func (v *vm) reset(f *flow) {
	w := v.world
	w.result.Tries.Resets++
	why := CauseRefused
	if f.opened {
		why = CauseEnded
	}
	w.after(w.deployment.Links.CallerMS.D(), func() { f.ended(why) })
}

// sendAll sends messages to other VMs.
func (v *vm) sendAll(outs []heartbeat.Outgoing) {
	w := v.world
	var last *heartbeat.Message
	size := 0
	for _, o := range outs {
		if o.Message != last {
			raw, err := heartbeat.Encode(o.Message)
			if err != nil {
				panic(err) // a heartbeat always fits
			}
			last, size = o.Message, len(raw)
		}
		to := w.byAddress[o.To]
		if to == nil {
			continue
		}
		w.result.controlBytes += size
		v.work(sendWork)
		w.links.carry(v.site, to.site, func() { to.hear(v.at, o.Message) })
	}
}

// hear takes in a heartbeat or an alarm.
func (v *vm) hear(from netip.AddrPort, m *heartbeat.Message) {
	if !v.works(v.world.now) {
		return
	}
	v.later(v.work(hearWork), func() {
		now := v.world.time()
		switch {
		case m.Heartbeat != nil:
			v.peerTable.Handle(now, from, m.Heartbeat)
		case m.Alarm != nil:
			v.router.SetSilenceReports(now, v.peerTable.HandleAlarm(now, from, m.Alarm))
		}
	})
}

// learn takes in changes of registrations.
func (v *vm) learn(put []baobabstep.Registration, gone []baobabstep.TargetID) {
	if !v.up || !v.router.Ready() {
		return // it reads them at its start
	}
	v.later(v.work(hearWork+time.Duration(len(put)+len(gone))*registrationWork), func() {
		v.router.ChangeRegistrations(v.world.time(), put, gone)
	})
}

// learnAll takes in all registrations.
func (v *vm) learnAll(list []baobabstep.Registration, before func(*vm)) {
	if !v.up || !v.router.Ready() {
		return // it reads them at its start
	}
	v.later(v.work(hearWork+time.Duration(len(list))*registrationWork), func() {
		before(v)
		v.router.SetRegistrations(v.world.time(), list)
	})
}

// learnEvacuations takes in which data centres are evacuated.
func (v *vm) learnEvacuations(list []string) {
	if v.up && v.router.Ready() {
		v.later(v.work(hearWork), func() { v.router.SetEvacuations(v.world.time(), list) })
	}
}
