// Command 1 shows that a planned restart of a VM resets open flows of a route that was
// added seconds before: the VM begins with a stale read of the configuration.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep/review/rig"
)

const (
	staleReadLag   = 3 * time.Second
	length         = 80 * time.Second
	routeInterval  = 2 * time.Second
	applyMargin    = time.Second
	flowLength     = 8 * time.Second
	requestPause   = 120 * time.Millisecond
	clientsPerZone = 20
	// Three of six machines are a share of 0.45, rounded up.
	machinesATurn = 3
	turnPause     = 1500 * time.Millisecond
	restartGap    = 1300 * time.Millisecond
	// A process is started again after minRestartDelay, and up to restartSpread later.
	minRestartDelay = 200 * time.Millisecond
	restartSpread   = 500 * time.Millisecond
	exitBroken      = 1
	exitNotRun      = 2
)

type run struct {
	*rig.Fleet
	clients []*rig.Client
	served  atomic.Int64
	opened  atomic.Int64
	byHost  atomic.Int64
	broken  atomic.Int64
	mu      sync.Mutex
	ran     map[string]int
	flows   sync.WaitGroup
}

func main() {
	os.Exit(play())
}

func play() int {
	fleet, err := rig.NewFleet(os.Args[1], rig.TjffoDraw())
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer fleet.Close()
	r := &run{Fleet: fleet, ran: make(map[string]int)}
	if err := r.start(); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var restarts sync.WaitGroup
	if os.Getenv("TROUBLE") != "0" {
		restarts.Go(func() { r.restartInTurn(ctx) })
	}
	r.addRoutes(ctx)
	restarts.Wait()
	r.flows.Wait()
	summary := fmt.Sprintf("%d flows opened, %d requests served, %d open flows reset by a host, %d open flows reset by the system",
		r.opened.Load(), r.served.Load(), r.byHost.Load(), r.broken.Load())
	r.Record.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case r.broken.Load() > 0:
		return exitBroken
	case r.served.Load() == 0 || r.byHost.Load() > 0:
		return exitNotRun
	}
	return 0
}

func (r *run) start() error {
	r.Store.Lag = staleReadLag
	number := 0
	for _, zone := range []string{"hobart-a", "kingston-b", "glenorchy-c"} {
		for range 3 {
			number++
			host := &rig.Host{ID: 0x7f3a9100 + uint64(number)*7919, Service: "fixtures", Zone: zone, Work: 10 * time.Millisecond, OnRun: r.countRun}
			if err := host.Start(r.Net, number, r.Store, rig.Heartbeat); err != nil {
				return err
			}
		}
	}
	r.PutConfig(1, r.routes(1), services())
	time.Sleep(staleReadLag + 500*time.Millisecond)
	if err := r.StartAll(context.Background()); err != nil {
		return err
	}
	if !r.WaitReady(15 * time.Second) {
		return fmt.Errorf("not all VMs became ready")
	}
	number = 0
	for _, zone := range []string{"hobart-a", "kingston-b", "glenorchy-c"} {
		for range clientsPerZone {
			number++
			client, err := rig.NewClient(r.Net.ClientAddress(number), zone, r.Fabric)
			if err != nil {
				return err
			}
			r.clients = append(r.clients, client)
		}
	}
	return nil
}

func services() []map[string]any { return []map[string]any{rig.Service("fixtures", 2, 0)} }

// routes returns the first count routes, all to one service.
func (r *run) routes(count int) (list []rig.Route) {
	for n := range count {
		list = append(list, rig.Route{Name: fmt.Sprintf("r-%d", n), Address: r.Net.ServiceAddress(n + 1), Kind: "idempotent", Service: "fixtures"})
	}
	return list
}

// addRoutes adds a route every routeInterval and opens flows on it.
func (r *run) addRoutes(ctx context.Context) {
	version := 1
	for n := 2; ctx.Err() == nil; n++ {
		version += 1 + n%3
		r.PutConfig(version, r.routes(n), services())
		service := r.Net.ServiceAddress(n)
		time.Sleep(applyMargin)
		for _, client := range r.clients {
			r.flows.Go(func() { r.useFlow(client, service) })
		}
		time.Sleep(routeInterval - applyMargin)
	}
}

// countRun is called when a host runs a request; the request's id begins with its flow.
func (r *run) countRun(_ *rig.Host, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	flow, _, _ := strings.Cut(attempt, "#")
	r.ran[flow]++
}

// useFlow keeps a flow open and sends requests on it, with pauses.
func (r *run) useFlow(client *rig.Client, service netip.AddrPort) {
	flow, outcome := client.Open(service, nil)
	if outcome != rig.Served {
		r.Record.Logf("flow %s did not open", flow.Name())
		return
	}
	r.opened.Add(1)
	sent, served := 0, 0
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.Record.Logf("flow %s at host %s: %d requests sent, %d answered, %d run", flow.Name(), flow.Host, sent, served, r.ran[flow.Name()])
	}()
	for n := 0; time.Since(flow.OpenedAt) < flowLength; n++ {
		sent++
		outcome := flow.Request(fmt.Sprintf("%s#%d", flow.Name(), n), 5*time.Second)
		if outcome == rig.Served {
			served++
			r.served.Add(1)
			outcome = flow.Pause(requestPause)
		}
		switch outcome {
		case rig.Served:
			continue
		case rig.ResetBySystem:
			if served == 0 { // the host may lack the end of the handshake
				r.Record.Logf("flow %s got a reset of the system before its first answer", flow.Name())
				return
			}
			r.Record.Logf("BROKEN: flow %s, open for %v at host %s with %d requests served, got a reset of the system; its packets go to %s",
				flow.Name(), time.Since(flow.OpenedAt).Round(time.Millisecond), flow.Host, served, flow.VMOf())
			r.broken.Add(1)
		case rig.ResetByHost:
			r.Record.Logf("flow %s got a reset of a host", flow.Name())
			r.byHost.Add(1)
		default:
			r.Record.Logf("flow %s: request %d not served", flow.Name(), n)
		}
		return
	}
	flow.Close()
}

// restartInTurn stops machinesATurn VMs in turn as planned, one every restartGap, and
// starts each again after it ended. It goes on with the next VMs after a pause.
func (r *run) restartInTurn(ctx context.Context) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		restarts.Go(func() { r.restart(r.VMs[n%len(r.VMs)]) })
		time.Sleep(restartGap)
		if n%machinesATurn == machinesATurn-1 {
			time.Sleep(turnPause)
		}
	}
}

func (r *run) restart(vm *rig.VM) {
	r.Term(vm)
	time.Sleep(minRestartDelay + time.Duration(rand.Int64N(int64(restartSpread))))
	if err := r.Start(vm); err != nil {
		r.Record.Logf("%s: %v", vm.Name, err)
	}
}
