package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
)

const (
	// decisionTime is what a VM takes for one segment.
	decisionTime = 20 * time.Microsecond
	// tickInterval is that of a VM, and troubleInterval the least time between
	// two heartbeats about targets in trouble, as in package entry.
	tickInterval    = 100 * time.Millisecond
	troubleInterval = 20 * time.Millisecond
	// newsDelay is what a change of registrations takes to reach a VM.
	newsDelay = 30 * time.Millisecond
	// startDelay is what a VM takes from its start to its first decision.
	startDelay = 150 * time.Millisecond
)

// vm is one VM. Each start makes a new router and a new board.
type vm struct {
	world  *World
	site   int
	number int
	name   string
	salt   uint64
	at     netip.AddrPort

	router *token.Router
	board  *heartbeat.Board
	// run counts starts; what was to come in an earlier run does not.
	run int

	up          bool
	frozenUntil time.Duration
	slow        float64
	toldAt      time.Duration

	// rotated and misses are the fabric's view.
	rotated bool
	misses  int
}

func newVM(w *World, site, number int) *vm {
	name := fmt.Sprintf("vm-%s-%d", w.deployment.DataCentres[site].Name, number)
	return &vm{
		world: w, site: site, number: number, name: name, salt: mix(uint64(baobabstep.MakeVMID(name))), slow: 1,
		at: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(site + 1), byte(200 + number>>8), byte(number)}), 7000),
	}
}

// start begins a run.
func (v *vm) start() {
	v.run++
	w, run := v.world, v.run
	v.up, v.frozenUntil = true, w.now
	seed := mix(w.seed ^ v.salt ^ uint64(run))
	v.router = token.New(w.options(token.Options{
		DataCentre: w.deployment.DataCentres[v.site].Name, Rand: rand.New(rand.NewPCG(seed, 1)),
	}))
	v.board = heartbeat.New(w.time(), heartbeat.Options{
		Self: baobabstep.MakeVMID(v.name), DataCentre: w.deployment.DataCentres[v.site].Name, Address: v.at,
		Life: uint64(w.time().UnixMilli()), Seeds: w.seeds(), Rand: rand.New(rand.NewPCG(seed, 2)),
	})
	w.after(startDelay, func() {
		if v.run == run {
			v.router.SetTable(w.time(), w.table())
			v.router.SetRegistrations(w.time(), w.registrations())
		}
	})
	w.after(time.Duration(w.luck.Int64N(int64(tickInterval))), func() { v.tick(run) })
}

// stop ends a run at once.
func (v *vm) stop() {
	v.up = false
	v.run++
}

// works tells whether the VM takes in packets.
func (v *vm) works(now time.Duration) bool { return v.up && now >= v.frozenUntil }

func (v *vm) answersChecks(now time.Duration) bool { return v.works(now) && v.router.Ready() }

func (v *vm) tick(run int) {
	if v.run != run {
		return
	}
	if v.works(v.world.now) {
		now := v.world.time()
		v.router.Tick(now)
		if v.board.Due(now) {
			v.sendAll(v.board.Tick(now, v.own(now)))
		}
		v.takeOthers(now)
		v.tellTrouble(now)
	}
	v.world.after(tickInterval, func() { v.tick(run) })
}

func (v *vm) own(now time.Time) heartbeat.Own {
	return heartbeat.Own{Loads: v.router.Loads(now)}
}

func (v *vm) takeOthers(now time.Time) {
	v.router.SetOthers(v.board.Loads(now), v.board.Live(now))
}

// tellTrouble announces targets in trouble at once, but not too often.
func (v *vm) tellTrouble(now time.Time) {
	if v.world.now-v.toldAt < troubleInterval {
		return
	}
	select {
	case <-v.router.Troubled():
		v.toldAt = v.world.now
		v.sendAll(v.board.Announce(now, v.own(now), false))
	default:
	}
}

// receive decides about a segment.
func (v *vm) receive(p *packet) {
	run := v.run
	v.world.after(time.Duration(float64(decisionTime)*v.slow), func() {
		if v.run != run || !v.works(v.world.now) {
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
func (v *vm) forward(p *packet, f *baobabstep.Forward) {
	w := v.world
	if f.Target == 0 {
		w.result.Tries.Resets++
		why := CauseRefused
		if p.flow.opened {
			why = CauseEnded
		}
		w.after(w.deployment.Links.CallerMS.D(), func() { p.flow.ended(why) })
		return
	}
	t := w.targets[f.Target]
	if t == nil {
		return
	}
	delay, ok := w.links.between(v.site, t.site)
	if !ok {
		return
	}
	on := &packet{segment: p.segment, flow: p.flow, attempt: p.attempt}
	on.segment.Token = f.Token
	w.after(delay, func() { t.receive(on) })
}

// sendAll sends messages to other VMs.
func (v *vm) sendAll(outs []heartbeat.Out) {
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
		if delay, ok := w.links.between(v.site, to.site); ok {
			w.after(delay, func() { to.hear(v.at, o.Message.Heartbeat) })
		}
	}
}

// hear takes in a heartbeat.
func (v *vm) hear(from netip.AddrPort, h *heartbeat.Heartbeat) {
	if !v.works(v.world.now) || h == nil {
		return
	}
	now := v.world.time()
	if v.board.Handle(now, from, h) && h.IsUrgent() && h.DataCentre == v.world.deployment.DataCentres[v.site].Name {
		v.takeOthers(now)
	}
}
