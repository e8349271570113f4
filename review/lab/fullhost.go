package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The course of the case full-host.
const (
	// maxFlowsOfHost is the deployment's maxConnections.
	maxFlowsOfHost = 2000
	// crowdAddresses share the flows that fill the first host; each opens one flow
	// every crowdPause.
	crowdAddresses = 40
	crowdPause     = 120 * time.Millisecond
	// calmFlows is how many flows the crowd opens without the disruption.
	calmFlows = 200
	// settle is how long the second host is known before new clients come.
	settle = 1500 * time.Millisecond
	// newcomers come one every newcomerPause, for rush.
	rush          = 6500 * time.Millisecond
	newcomerPause = 80 * time.Millisecond
	// seniorPause is the mean time between two requests on the flows of the crowd.
	seniorPause = 300 * time.Millisecond
	firstWork   = 5 * time.Millisecond
	// orderWork is the mean work of a team-change.
	orderWork    = 39 * time.Millisecond
	requestLimit = 2 * time.Second
)

// crowd are the long flows that the first host holds.
type crowd struct {
	mu    sync.Mutex
	flows []*flow
}

// playFullHost fills a host with as many flows as it may hold, adds an empty host, and lets
// clients come while the flows of the first go on with a request now and then.
func playFullHost(r *record, o options) error {
	f, err := newFleet(r, o.program)
	if err != nil {
		return err
	}
	defer func() { f.close(len(r.broken) > 0) }()
	const clientZone = 2
	orders := route{name: "r-orders", kind: "non_idempotent", service: "fixtures", address: routeAddress, limitMS: 2000, aimMS: 200, priority: 1}
	if err := f.putConfig(2, maxFlowsOfHost, orders); err != nil {
		return err
	}
	first, err := newHost(r, f.store, "first", orders.service, tjffoZones[clientZone].name, f.at(hostNet+clientZone, 1, hostPort))
	if err != nil {
		return err
	}
	defer first.close()
	if err := f.startVMs(tjffoZones); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	flows := calmFlows
	if o.trouble {
		flows = maxFlowsOfHost
	}
	c, clients, err := openCrowd(r, f, clientZone, flows)
	if err != nil {
		return err
	}
	for _, cl := range clients {
		defer cl.close()
	}
	held, _ := first.count()
	r.notef("host first holds %d flows", held)
	second, err := newHost(r, f.store, "second", orders.service, tjffoZones[clientZone].name, f.at(hostNet+clientZone, 2, hostPort))
	if err != nil {
		return err
	}
	defer second.close()
	time.Sleep(settle)
	var all sync.WaitGroup
	end := time.Now().Add(rush)
	all.Go(func() { c.goOn(r, f, first, end) })
	for time.Now().Before(end) {
		cl := clients[rand.IntN(len(clients))]
		all.Go(func() { order(r, f, cl, []*host{first, second}) })
		time.Sleep(newcomerPause)
	}
	all.Wait()
	held, full := first.count()
	r.notef("host first holds %d flows and left %d opening packets unanswered", held, full)
	return nil
}

// openCrowd opens long flows, with one short request each.
func openCrowd(r *record, f *fleet, zone, count int) (*crowd, []*client, error) {
	c := new(crowd)
	var clients []*client
	var all sync.WaitGroup
	for n := range crowdAddresses {
		cl, err := newClient(f.at(clientNet, n+1, dataPort), f.pick(zone))
		if err != nil {
			return nil, nil, err
		}
		clients = append(clients, cl)
		all.Go(func() {
			for range count / crowdAddresses {
				fl := cl.newFlow(routeAddress)
				if result := fl.open(); result != answered {
					r.notef("crowd: %v is not open: %s", fl.id.client, result)
					continue
				}
				if result, _ := fl.request(newAttempt(), firstWork, requestLimit); result != answered {
					r.notef("crowd: first request on %v: %s", fl.id.client, result)
					continue
				}
				c.mu.Lock()
				c.flows = append(c.flows, fl)
				c.mu.Unlock()
				time.Sleep(crowdPause)
			}
		})
	}
	all.Wait()
	return c, clients, nil
}

// goOn sends requests on the flows that were used last, one after the other, until a time.
func (c *crowd) goOn(r *record, f *fleet, at *host, end time.Time) {
	next := len(c.flows) - 1
	for time.Now().Before(end) && next >= 0 {
		fl := c.flows[next]
		next--
		opened, held := at.holds(fl.id)
		idle := time.Since(fl.lastUsed)
		attempt := newAttempt()
		r.notef("client %v asks %s on its flow, idle for %v", fl.id.client, attempt, idle.Round(time.Millisecond))
		result, from := fl.request(attempt, orderWork, requestLimit)
		r.notef("client %v: %s is %s (%s)", fl.id.client, attempt, result, f.isVM(from))
		judgeFlow(r, fl, at, result, attempt, opened, held)
		time.Sleep(time.Duration(rand.Float64() * 2 * float64(seniorPause)))
	}
}

// judgeFlow checks the rule FLOW (a) after a request on an open flow: the client gets no reset
// that the flow's host didn't send while that host lives.
func judgeFlow(r *record, fl *flow, at *host, result outcome, attempt string, opened time.Time, held bool) {
	if result != resetByVM || !held {
		return
	}
	if age := time.Since(opened); age < 60*time.Second {
		_, still := at.holds(fl.id)
		r.breakf("FLOW: client %v got a reset of the system on a flow that is open at host %s (age %v, host still holds it: %v), for %s",
			fl.id.client, at.name, age.Round(time.Millisecond), still, attempt)
	}
}

// order is a client that comes with one request on a flow of its own.
func order(r *record, f *fleet, cl *client, hosts []*host) {
	fl := cl.newFlow(routeAddress)
	attempt := newAttempt()
	result := fl.open()
	if result != answered {
		r.notef("newcomer %v: %s not sent, flow is not open: %s", fl.id.client, attempt, result)
		return
	}
	result, from := fl.request(attempt, orderWork, requestLimit)
	r.notef("newcomer %v: %s is %s (%s)", fl.id.client, attempt, result, f.isVM(from))
	for _, h := range hosts {
		if opened, held := h.holds(fl.id); held {
			judgeFlow(r, fl, h, result, attempt, opened, held)
		}
	}
	fl.close()
}
