package emulator

import (
	"time"

	"baobabstep"
)

const (
	// storeAnswer is how long the store takes to answer a call.
	storeAnswer = 4 * time.Millisecond
	// storePage is the number of registrations in one of its answers.
	storePage = 50
	// storeRetry is how often a VM that found no store asks again, about.
	storeRetry = 500 * time.Millisecond
	// gatherTime is the pause between two watches, as in package entry.
	gatherTime = 500 * time.Millisecond
	// repairTime is how long a VM that a change did not reach takes to hear of
	// it from a heartbeat.
	repairTime = 400 * time.Millisecond
)

// store keeps registrations. It has no rates: calls are not refused.
type store struct {
	world *World
	// awayUntil is when it is back, slow by how much longer its answers take.
	awayUntil time.Duration
	slow      float64
	// watchAt is when the fleet's watch waits again.
	watchAt time.Duration
	// backup is what the store holds after a restore, until targets have written
	// again; nil otherwise.
	backup []baobabstep.Registration
}

// writeAgainTime is how long after a restore targets take to write again.
const writeAgainTime = 2 * time.Second

// restore brings the store back from a backup.
func (s *store) restore(backup []baobabstep.Registration) {
	s.backup = backup
	s.tellAll(func(v *vm) { v.router.StoreRestored(v.world.time()) })
	s.world.after(writeAgainTime, func() {
		s.backup = nil
		s.tellAll(func(*vm) {})
	})
}

// tellAll spreads all registrations that the store holds; VMs do something before
// they take them in.
func (s *store) tellAll(before func(*vm)) {
	list := s.held()
	answer, _ := s.answer()
	s.spread(s.world.now+answer, func(v *vm) { v.learnAll(list, before) })
}

// held returns the registrations that the store holds.
func (s *store) held() []baobabstep.Registration {
	if s.backup != nil {
		return s.backup
	}
	return s.world.registrations()
}

// answer returns how long a call takes; false if there is no answer.
func (s *store) answer() (time.Duration, bool) {
	return time.Duration(float64(storeAnswer) * s.slow), s.world.now >= s.awayUntil
}

// read lets a VM that starts read routes and registrations, page after page.
func (s *store) read(v *vm) {
	answer, ok := s.answer()
	if !ok {
		v.later(storeRetry, func() { s.read(v) })
		return
	}
	count := len(s.held())
	pages := 1 + (count-1)/storePage
	work := v.work(time.Duration(1+pages)*callWork + time.Duration(count)*registrationWork)
	v.later(time.Duration(pages)*answer+work, v.know)
}

// tell spreads changes of registrations: the fleet's watch yields them to the
// first VM, which hands them to those of its data centre and to one of each other.
func (s *store) tell(put []baobabstep.Registration, gone []baobabstep.TargetID) {
	w := s.world
	answer, _ := s.answer()
	at := s.watchAt // with all others that come until then
	if w.now >= s.watchAt {
		at, s.watchAt = w.now, w.now+gatherTime
	}
	s.spread(max(at, s.awayUntil)+answer, func(v *vm) { v.learn(put, gone) })
}

// tellEvacuations spreads which data centres are evacuated; its watch does not wait
// for more.
func (s *store) tellEvacuations() {
	list := s.world.evacuatedNames()
	answer, _ := s.answer()
	s.spread(max(s.world.now, s.awayUntil)+answer, func(v *vm) { v.learnEvacuations(list) })
}

// spread lets the first VM know something at a moment, which hands it to those of its
// data centre and to one of each other.
func (s *store) spread(at time.Duration, know func(*vm)) {
	w := s.world
	w.queue.push(at, func() {
		first := w.firstUp()
		if first == nil {
			return // whoever starts reads it
		}
		for i := range w.sites {
			w.handOn(first.site, i, func() {
				for _, v := range w.sites[i].vms {
					w.handOn(i, v.site, func() { know(v) })
				}
			})
		}
	})
}

// evacuatedNames returns the data centres that get no new flow.
func (w *World) evacuatedNames() (list []string) {
	for i := range w.sites {
		if _, evacuated := w.evacuated[i]; evacuated {
			list = append(list, w.deployment.DataCentres[i].Name)
		}
	}
	return list
}

// handOn does what the arrival of a change at a data centre does, or has it
// repaired until a packet comes through.
func (w *World) handOn(from, to int, do func()) {
	if !w.links.carry(from, to, do) {
		w.after(repairTime, func() { w.handOn(from, to, do) })
	}
}

// firstUp returns the first VM that knows routes and targets, nil if none does.
func (w *World) firstUp() *vm {
	for _, v := range w.vms {
		if v.up && v.router.Ready() {
			return v
		}
	}
	return nil
}
