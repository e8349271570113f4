package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The course of the case rolling.
const (
	// rollingHosts serve the route, in all zones.
	rollingHosts = 14
	// lossShare is the share of the hosts' datagrams to clients that are lost.
	lossShare = 0.01
	// rollingLoad is how long clients come, one every arrivalPause.
	rollingLoad  = 95 * time.Second
	arrivalPause = 4 * time.Millisecond
	// rollGap is the pause after the return of a VM before the next one is stopped.
	rollGap = 300 * time.Millisecond
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// flowRequests is the number of requests on a long flow, with feedPause between them.
	flowRequests = 2
	feedPause    = 700 * time.Millisecond
	feedWork     = 30 * time.Millisecond
	feedLimit    = 1500 * time.Millisecond
	clientCount  = 30
)

// playRolling lets clients keep long flows while the VMs of their zone are stopped and started
// in turn. Few datagrams are lost, with and without the disruption.
func playRolling(r *record, o options) error {
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
	for n := range rollingHosts {
		zone := n % len(tjffoZones)
		h, err := newHost(r, f.store, fmt.Sprintf("h%d", n+1), feed.service, tjffoZones[zone].name, f.at(hostNet+zone, n+1, hostPort))
		if err != nil {
			return err
		}
		h.loss = lossShare
		hosts = append(hosts, h)
		defer h.close()
	}
	if err := f.startVMs(tjffoZones); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var clients []*client
	for n := range clientCount {
		cl, err := newClient(f.at(clientNet, n+1, dataPort), f.pick(clientZone))
		if err != nil {
			return err
		}
		clients = append(clients, cl)
		defer cl.close()
	}
	end := time.Now().Add(rollingLoad)
	var all sync.WaitGroup
	if o.trouble {
		all.Go(func() { f.roll(end) })
	}
	var counts [4]atomic.Int64
	for time.Now().Before(end) {
		cl := clients[rand.IntN(len(clients))]
		all.Go(func() { follow(r, f, cl, hosts, &counts) })
		time.Sleep(arrivalPause)
	}
	all.Wait()
	r.notef("flows: %d opened, %d not opened; requests: %d answered, %d not", counts[0].Load(), counts[1].Load(), counts[2].Load(), counts[3].Load())
	return nil
}

// roll stops and starts the VMs one after the other until a time. Each is in rotation again
// before the next one is stopped.
func (f *fleet) roll(end time.Time) {
	for {
		for _, v := range f.vms {
			if time.Now().After(end) {
				return
			}
			f.record.notef("%s gets SIGTERM", v.name)
			inTime := v.process.End(syscall.SIGTERM, stopGrace)
			f.record.notef("%s has ended, in time: %v", v.name, inTime)
			time.Sleep(restartDelay)
			if err := f.startVM(v); err != nil {
				f.record.notef("%s doesn't start: %v", v.name, err)
				return
			}
			time.Sleep(rollGap)
		}
	}
}

// follow is a client that keeps a flow for some requests.
func follow(r *record, f *fleet, cl *client, hosts []*host, counts *[4]atomic.Int64) {
	fl := cl.newFlow(routeAddress)
	defer fl.close()
	if result := fl.open(); result != answered {
		r.notef("client %v: flow is not open: %s", fl.id.client, result)
		counts[1].Add(1)
		return
	}
	counts[0].Add(1)
	for range flowRequests {
		attempt := newAttempt()
		r.notef("client %v sends %s", fl.id.client, attempt)
		result, from := fl.request(attempt, feedWork, feedLimit)
		r.notef("client %v: %s is %s", fl.id.client, attempt, result)
		if result != answered {
			counts[3].Add(1)
			judgeReset(r, f, fl, hosts, result, from, attempt)
			return
		}
		counts[2].Add(1)
		time.Sleep(feedPause)
	}
}

// judgeReset checks the rule FLOW (a): the client gets no reset that the flow's host didn't send
// while that host lives.
func judgeReset(r *record, f *fleet, fl *flow, hosts []*host, result outcome, from netip.AddrPort, attempt string) {
	var home, sender *host
	for _, h := range hosts {
		if h.address.Addr() == from.Addr().Unmap() {
			sender = h
		}
		if _, ok := h.holds(fl.id); ok {
			home = h
		}
	}
	switch {
	case home == nil:
		r.notef("client %v: %s ends with %q, no host holds its flow", fl.id.client, attempt, result)
	case result == resetByHost && sender != nil && sender != home:
		r.breakf("FLOW: client %v got a reset of host %s on its flow, which is open at host %s, for %s", fl.id.client, sender.name, home.name, attempt)
	case result == resetByVM:
		r.breakf("FLOW: client %v got a reset of %s on its flow, which is open at host %s, for %s", fl.id.client, f.isVM(from), home.name, attempt)
	default:
		r.notef("client %v: %s ends with %q", fl.id.client, attempt, result)
	}
}
