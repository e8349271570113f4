package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"baobabstep"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is a kind of trouble.
type Kind uint8

// Kinds of trouble. The comment of each is its name in files.
const (
	// KindNone is no trouble.
	KindNone Kind = iota // none
	// KindTargetError: a share of the targets answers the part X of its
	// requests with errors, at once.
	KindTargetError // target_error
	// KindTargetHang: they never answer them.
	KindTargetHang // target_hang
	// KindTargetReset: they reset their flows.
	KindTargetReset // target_reset
	// KindTargetShed: they say that they have no room for them.
	KindTargetShed // target_shed
	// KindTargetSlow: a share of the targets takes X times as long.
	KindTargetSlow // target_slow
	// KindTargetFlap: a share of the targets is down and up by turns; GapMS is
	// a turn of both.
	KindTargetFlap // target_flap
	// KindTargetCrash: a share of the targets crashes, silently, and starts
	// again under its identifier after ForMS.
	KindTargetCrash // target_crash
	// KindTargetReplace: a share of the targets is replaced one after the
	// other, each GapMS: the new one starts, the old one drains.
	KindTargetReplace // target_replace
	// KindBurst: X times the usual is asked.
	KindBurst // burst
	// KindShift: a share of a data centre's callers uses the VMs of another.
	KindShift // shift
	// KindVMOff: a share of the VMs loses power for ForMS.
	KindVMOff // vm_off
	// KindVMFreeze: a share of the VMs stands still for ForMS.
	KindVMFreeze // vm_freeze
	// KindVMSlow: a share of the VMs takes X times as long to decide.
	KindVMSlow // vm_slow
	// KindCut: a data centre is cut off from the others, but not from callers.
	KindCut // cut
	// KindLoss: links of a data centre to the others lose the part X.
	KindLoss // loss
	// KindDouble: they carry the part X twice.
	KindDouble // double
	// KindTargetAdd: a service gets a share more targets, cold and empty, over
	// GapMS.
	KindTargetAdd // target_add
	// KindVMRoll: a share of the VMs is stopped as planned and started again,
	// X at a time, each GapMS.
	KindVMRoll // vm_roll
	// KindDataCentreOff: all VMs of a data centre lose power for ForMS.
	KindDataCentreOff // data_centre_off
	// KindStoreAway: the store does not answer.
	KindStoreAway // store_away
	// KindStoreSlow: its answers take X times as long.
	KindStoreSlow // store_slow
	// KindEvacuate: operators empty a data centre; its targets are cold at the end.
	KindEvacuate // evacuate
	// KindColdReturn: all targets of a data centre fall silent at once, and come
	// back cold together.
	KindColdReturn // cold_return
	// KindStoreRestore: the store is away for ForMS and comes back from a backup of
	// GapMS before; targets write again what it lacks.
	KindStoreRestore // store_restore
	numKinds
)

// ParseKind returns the kind of a name. Errors: CodeInvalid.
func ParseKind(name string) (Kind, error) {
	for k := KindNone + 1; k < numKinds; k++ {
		if k.String() == name {
			return k, nil
		}
	}
	return KindNone, baobabstep.Errorf(baobabstep.CodeInvalid, "emulator.kind", "got %q, want a kind of trouble such as %v", name, KindTargetError)
}

// UnmarshalText implements [encoding.TextUnmarshaler].
func (k *Kind) UnmarshalText(text []byte) (err error) {
	*k, err = ParseKind(string(text))
	return err
}

// MarshalText implements [encoding.TextMarshaler].
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Trouble is something that happens on a day.
type Trouble struct {
	Kind Kind `json:"kind"`
	// AtMS is when it begins, ForMS how long it lasts.
	AtMS  Duration `json:"at_ms"`
	ForMS Duration `json:"for_ms"`
	// Share is the part of the things that it concerns.
	Share float64 `json:"share"`
	// X is how strong it is.
	X     float64  `json:"x"`
	GapMS Duration `json:"gap_ms"`
	// Service and DataCentre say where, by their place in the deployment; -1
	// or a place that there is not draws one.
	Service    int `json:"service"`
	DataCentre int `json:"data_centre"`
}

// trouble begins a trouble and plans its end.
func (w *World) trouble(t Trouble, draw *rand.Rand) {
	end := func(do func()) { w.after(t.ForMS.D(), do) }
	site := place(t.DataCentre, len(w.sites), draw)
	switch t.Kind {
	case KindTargetError, KindTargetHang, KindTargetReset, KindTargetShed:
		for _, x := range w.someTargets(t, draw) {
			x.fault = fault{kind: t.Kind, share: t.X}
			end(func() { x.fault = fault{} })
		}
	case KindTargetSlow:
		for _, x := range w.someTargets(t, draw) {
			x.slow = t.X
			end(func() { x.slow = 1 })
		}
	case KindTargetFlap:
		for _, x := range w.someTargets(t, draw) {
			w.flap(x, w.now+t.ForMS.D(), t.GapMS.D()/2)
		}
	case KindTargetCrash:
		for _, x := range w.someTargets(t, draw) {
			w.crash(x, t.ForMS.D())
		}
	case KindTargetReplace:
		for i, x := range w.someTargets(t, draw) {
			w.after(time.Duration(i)*t.GapMS.D(), func() { w.replace(x) })
		}
	case KindBurst:
		w.burst *= t.X
		end(func() { w.burst /= t.X })
	case KindShift:
		w.shift(site, t, draw)
	case KindVMOff, KindVMFreeze, KindVMSlow:
		for _, v := range w.someVMs(t.Share, draw) {
			w.troubleVM(v, t)
		}
	case KindCut:
		w.links.cut[site] = true
		end(func() { delete(w.links.cut, site) })
	case KindLoss:
		w.links.loss[site] = t.X
		end(func() { delete(w.links.loss, site) })
	case KindDouble:
		w.links.double[site] = t.X
		end(func() { delete(w.links.double, site) })
	case KindTargetAdd:
		w.addTargets(t, draw)
	case KindVMRoll:
		w.roll(t, draw)
	case KindDataCentreOff:
		for _, v := range w.sites[site].vms {
			w.powerOff(v, t.ForMS.D())
		}
	case KindEvacuate:
		w.evacuate(site)
		end(func() { w.endEvacuation(site) })
	case KindColdReturn:
		for _, x := range w.order {
			if x.site == site && x.up {
				w.crash(x, t.ForMS.D())
			}
		}
	case KindStoreAway:
		w.store.awayUntil = w.now + t.ForMS.D()
	case KindStoreRestore:
		backup := w.registrations()
		w.after(t.GapMS.D(), func() {
			w.store.awayUntil = w.now + t.ForMS.D()
			end(func() { w.store.restore(backup) })
		})
	case KindStoreSlow:
		w.store.slow = max(1, t.X)
		end(func() { w.store.slow = 1 })
	}
}

// addTargets starts new targets of a service, in each data centre in turn.
func (w *World) addTargets(t Trouble, draw *rand.Rand) {
	service := &w.deployment.Services[place(t.Service, len(w.deployment.Services), draw)]
	present := 0
	for _, x := range w.order {
		if x.service == service && x.up {
			present++
		}
	}
	count := part(t.Share, present)
	for i := range count {
		w.after(t.GapMS.D()*time.Duration(i)/time.Duration(count), func() {
			x := w.addTarget(service, i%len(w.sites))
			x.start(true)
			w.store.tell([]baobabstep.Registration{x.registration()}, nil)
		})
	}
}

const (
	// leaveTime is how long a VM that stops as planned goes on forwarding: two
	// readiness checks and what comes after them.
	leaveTime = 1200 * time.Millisecond
	// restartTime is how long after its end a process is started again.
	restartTime = 100 * time.Millisecond
)

// roll restarts a share of the VMs, some at a time.
func (w *World) roll(t Trouble, draw *rand.Rand) {
	at := max(1, int(t.X))
	for i, v := range w.someVMs(t.Share, draw) {
		w.after(time.Duration(i/at)*t.GapMS.D(), func() {
			v.leaving = true
			w.after(leaveTime, func() { w.powerOff(v, restartTime) })
		})
	}
}

// powerOff stops a VM at once and starts it again.
func (w *World) powerOff(v *vm, down time.Duration) {
	v.stop()
	v.later(down, v.start)
}

func place(at, length int, draw *rand.Rand) int {
	drawn := draw.IntN(length)
	if at < 0 || at >= length {
		return drawn
	}
	return at
}

// someTargets draws the targets that a trouble concerns.
func (w *World) someTargets(t Trouble, draw *rand.Rand) []*target {
	service := &w.deployment.Services[place(t.Service, len(w.deployment.Services), draw)]
	var list []*target
	for _, x := range w.order {
		if x.service == service && x.up && !x.draining {
			list = append(list, x)
		}
	}
	draw.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:part(t.Share, len(list))]
}

func (w *World) someVMs(share float64, draw *rand.Rand) []*vm {
	list := slices.Clone(w.vms)
	draw.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:part(share, len(list))]
}

// part returns how many of a number a share is, at least one.
func part(share float64, of int) int { return min(of, max(1, int(share*float64(of)+0.5))) }

func (w *World) flap(x *target, until, half time.Duration) {
	if w.now >= until {
		return
	}
	x.crash(false)
	w.after(half, func() {
		x.start(false)
		w.after(half, func() { w.flap(x, until, half) })
	})
}

// crash lets a target fall silent and start again under its identifier.
func (w *World) crash(x *target, down time.Duration) {
	x.crash(true)
	run := x.life
	w.after(registrationLapse, func() {
		if x.life == run && !x.up {
			w.store.tell(nil, []baobabstep.TargetID{x.id})
		}
	})
	w.after(down, func() {
		x.start(true)
		w.store.tell([]baobabstep.Registration{x.registration()}, nil)
	})
}

const (
	// registrationLag is how long after a change a target writes its registration.
	registrationLag = 600 * time.Millisecond
	// drainTime is how long a target that leaves still serves.
	drainTime = 4 * time.Second
)

// replace starts a new target and drains an old one.
func (w *World) replace(old *target) {
	x := w.addTarget(old.service, old.site)
	x.start(true)
	old.leave()
	w.store.tell([]baobabstep.Registration{x.registration(), old.registration()}, nil)
	w.after(drainTime, func() {
		old.crash(false)
		w.store.tell(nil, []baobabstep.TargetID{old.id})
	})
}

// evacuate empties a data centre.
func (w *World) evacuate(site int) {
	w.evacuated[site] = w.now
	w.store.tellEvacuations()
}

// endEvacuation lets flows back into a data centre. Its targets have been cold for a
// moment; their registrations say so later.
func (w *World) endEvacuation(site int) {
	delete(w.evacuated, site)
	var cold []baobabstep.Registration
	for _, x := range w.order {
		if x.site == site && x.up {
			x.start(true)
			cold = append(cold, x.registration())
		}
	}
	w.store.tellEvacuations()
	w.after(registrationLag, func() { w.store.tell(cold, nil) })
}

// shift lets a share of a data centre's callers use the VMs of the next one.
func (w *World) shift(site int, t Trouble, draw *rand.Rand) {
	callers := w.sites[site].callers
	for _, i := range draw.Perm(len(callers))[:part(t.Share, len(callers))] {
		c := callers[i]
		c.entry = (site + 1) % len(w.sites)
		w.after(t.ForMS.D(), func() { c.entry = site })
	}
}

func (w *World) troubleVM(v *vm, t Trouble) {
	switch t.Kind {
	case KindVMOff:
		w.powerOff(v, t.ForMS.D())
	case KindVMFreeze:
		v.frozenUntil = w.now + t.ForMS.D()
	default:
		v.slow = t.X
		w.after(t.ForMS.D(), func() { v.slow = 1 })
	}
}
