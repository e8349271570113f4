package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"baobabstep/platform/standin"
)

// The course of the case gone.
const (
	goneHosts = 6
	// outage is how long the store answers nothing but 503.
	outage = 4 * time.Second
	// calm follows the outage; it is longer than contactMs, so the core is stable again.
	calm = 6 * time.Second
	// cutFor is how long the VM that watches the store is cut from it.
	cutFor = 5500 * time.Millisecond
	// watched is how long the clients go on after the host's entry was removed.
	watched = 8 * time.Second
	// drainBound is drainMs.
	drainBound = 3 * time.Second
	gonePause  = 5 * time.Millisecond
)

// playGone removes the entry of a host that lives but no longer reaches the store, some
// seconds after an outage of the store, while the VM that watches the store is cut from it.
func playGone(r *record, o options) error {
	f, err := newFleet(r, o.program)
	if err != nil {
		return err
	}
	defer func() { f.close(len(r.broken) > 0) }()
	const clientZone = 1
	feed := route{name: "r-feed", kind: "idempotent", service: "fixtures", address: routeAddress, limitMS: 1500, aimMS: 150, priority: 2}
	if err := f.putConfig(2, maxFlowsOfHost, feed); err != nil {
		return err
	}
	var hosts []*host
	for n := range goneHosts {
		h, err := newHost(r, f.store, fmt.Sprintf("h%d", n+1), feed.service, tjffoZones[clientZone].name, f.at(hostNet+clientZone, n+1, hostPort))
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
		defer h.close()
	}
	if err := f.startVMs(tjffoZones); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var clients []*client
	for n := range clientCount {
		cl, err := newClient(f.at(clientNet, n+1, dataPort), f.pick(clientZone))
		if err != nil {
			return err
		}
		clients = append(clients, cl)
		defer cl.close()
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(gonePause):
			}
			cl := clients[rand.IntN(len(clients))]
			all.Go(func() {
				fl := cl.newFlow(routeAddress)
				if fl.open() == answered {
					_, _ = fl.request(newAttempt(), feedWork, feedLimit)
				}
				fl.close()
			})
		}
	})
	if o.trouble {
		for _, h := range hosts {
			h.pauseReports(true)
		}
		f.store.SetFault(standin.FaultRefuse)
		r.notef("the store is down")
		time.Sleep(outage)
		f.store.SetFault(standin.FaultNone)
		r.notef("the store is back")
		for _, h := range hosts {
			h.pauseReports(false)
		}
	}
	time.Sleep(calm)
	lost := hosts[0]
	lost.pauseReports(true)
	r.notef("host %s no longer reaches the store", lost.name)
	time.Sleep(3 * heartbeat)
	var cut *vm
	if o.trouble {
		if cut = f.cutWatcher(); cut == nil {
			return errors.New("no VM watches the store")
		}
		r.notef("%s, which watches the store, is cut from it", cut.name)
		time.AfterFunc(cutFor, f.healCut)
	}
	removed := time.Now()
	lost.watchFlows(func(id flowID, from netip.Addr) { judgeGone(r, f, lost, cut, removed, id, from) })
	f.store.Deregister(lost.id)
	r.notef("the entry of host %s is removed", lost.name)
	time.Sleep(watched)
	close(stop)
	all.Wait()
	return nil
}

// judgeGone checks the rule DRAIN: no flow reaches a host later than drainMs after the store
// acknowledged that it is gone, over a VM in touch. The VM that is cut from the store isn't.
func judgeGone(r *record, f *fleet, h *host, cut *vm, removed time.Time, id flowID, from netip.Addr) {
	late := time.Since(removed)
	name := f.isVM(netip.AddrPortFrom(from, 0))
	r.notef("host %s gets a flow of %v from %s, %v after its entry was removed", h.name, id.client, name, late.Round(time.Millisecond))
	if late > drainBound && (cut == nil || cut.ip != from) {
		r.breakf("DRAIN: host %s gets a flow of %v from %s, %v after its entry was removed", h.name, id.client, name, late.Round(time.Millisecond))
	}
}
