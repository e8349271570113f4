package soak

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"baobabstep/platform/standin"
)

// Bounds that the judge holds VMs to.
const (
	// newsBound is how soon a change has to be in force, while nothing else is
	// wrong with the store.
	newsBound = 3 * time.Second
	// afterFault is how long after a fault its part is not judged.
	afterFault = 4 * time.Second
)

// judge collects what callers and targets see, and what of it breaks a promise.
type judge struct {
	mu sync.Mutex
	// runs counts the runs of each attempt.
	runs map[uint64]int
	// serviceOf is each target's service; routed are the services that each
	// address was ever routed to.
	serviceOf map[uint64]string
	routed    map[netip.AddrPort][]string

	// emptied are the evacuated data centres, and since when.
	emptied map[string]time.Time
	// coldUntil is until when targets are cold, and newFlows the times of the flows
	// that each took in the last second.
	coldUntil map[uint64]time.Time
	newFlows  map[uint64][]time.Time

	outcomes   [4]int
	lastUneasy time.Time
	violations []string
}

func newJudge() *judge {
	return &judge{
		runs: map[uint64]int{}, serviceOf: map[uint64]string{}, routed: map[netip.AddrPort][]string{},
		emptied: map[string]time.Time{}, coldUntil: map[uint64]time.Time{}, newFlows: map[uint64][]time.Time{},
	}
}

// violated notes a broken promise. The lock is held.
func (j *judge) violated(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

func (j *judge) registered(target uint64, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.serviceOf[target] = service
}

// route notes that an address may lead to a service from now on.
func (j *judge) route(address netip.AddrPort, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Contains(j.routed[address], service) {
		j.routed[address] = append(j.routed[address], service)
	}
}

// ran is called by targets when a request begins to run.
func (j *judge) ran(target, request uint64, service netip.AddrPort) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[request]++
	if j.runs[request] > 1 {
		j.violated("request %x ran twice, last at target %x", request, target)
	}
	if !slices.Contains(j.routed[service], j.serviceOf[target]) {
		j.violated("request %x to %v ran at target %x of %s", request, service, target, j.serviceOf[target])
	}
}

// ended notes how an attempt ended. A flow that breaks although nothing was done
// to its target is a broken promise.
func (j *judge) ended(outcome standin.Outcome, t *target, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes[outcome]++
	if outcome == standin.Broken && t != nil && t.leaving.IsZero() && now.Sub(t.disturbed) > afterFault {
		j.violated("a flow at target %x broke, to which nothing was done", t.registration.ID)
	}
}

// placed notes that a new flow was accepted by a target.
func (j *judge) placed(t *target, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	uneasy := now.Sub(j.lastUneasy) < afterFault
	if t != nil && !t.leaving.IsZero() && now.Sub(t.leaving) > newsBound && !uneasy {
		j.violated("target %x got a new flow %v after it began to leave", t.registration.ID, now.Sub(t.leaving))
	}
	if t == nil {
		return
	}
	if since := j.emptied[t.registration.DataCentre]; !since.IsZero() && now.Sub(since) > newsBound && !uneasy {
		j.violated("target %x got a new flow %v after %s was emptied", t.registration.ID, now.Sub(since), t.registration.DataCentre)
	}
}

// evacuated notes since when a data centre is emptied; zero if it is not any more.
func (j *judge) evacuated(dataCentre string, since time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.emptied[dataCentre] = since
}

// startedCold notes how long a target that starts is cold.
func (j *judge) startedCold(target uint64, now time.Time, lasts time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.coldUntil[target] = now.Add(lasts)
}

// accepted is called by targets with each new flow. What a cold one gets in any
// second is bounded whatever else happens.
func (j *judge) accepted(target uint64, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !now.Before(j.coldUntil[target]) {
		delete(j.newFlows, target)
		return
	}
	flows := append(j.newFlows[target], now)
	for now.Sub(flows[0]) >= time.Second {
		flows = flows[1:]
	}
	j.newFlows[target] = flows
	if float64(len(flows)) > coldPerSecond*coldOvershoot+coldSlack {
		j.violated("cold target %x got %d new flows in a second", target, len(flows))
	}
}

// uneasy notes a fault of the store, of its links or of VMs: news may be late.
func (j *judge) uneasy(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastUneasy = now
}

// easy tells whether news has to be in force that is newsBound old.
func (j *judge) easy(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return now.Sub(j.lastUneasy) >= afterFault+newsBound
}

func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violated(format, args...)
}
