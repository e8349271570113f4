// Command 2 shows that VMs which start while an evacuation ends send cold hosts more new
// flows than they bear: they don't presume these hosts cold, as running VMs do.
package main

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep/review/rig"
)

const (
	rampPerS   = 6.0
	slowStartS = 2.0
	// limit is rampPerS x warmupOvershoot + warmupSlack.
	limit           = rampPerS*1.5 + 5
	rounds          = 6
	evacuationTime  = 8 * time.Second
	restartGap      = 1300 * time.Millisecond
	restartDelay    = 200 * time.Millisecond
	betweenRounds   = 4 * time.Second
	coldBefore      = 100 * time.Millisecond
	evacuatedZone   = "hobart-a"
	clientsPerZone  = 20
	flowsPerSecond  = 120
	otherPerSecond  = 40
	exitBroken      = 1
	exitNotRun      = 2
	requestTimeout  = 2 * time.Second
	workTime        = 5 * time.Millisecond
	hostsPerZone    = 2
	otherHostsAZone = 4
)

// arrival is an opening packet that a cold host took.
type arrival struct {
	host     *rig.Host
	sent, at time.Time
	vm       string
}

type run struct {
	*rig.Fleet
	hosts   []*rig.Host
	clients map[string][]*rig.Client
	service netip.AddrPort
	served  atomic.Int64
	failed  atomic.Int64

	mu       sync.Mutex
	sent     map[string]time.Time
	via      map[string]string
	arrivals []arrival
}

func main() {
	os.Exit(play())
}

func play() int {
	fleet, err := rig.NewFleet(os.Args[1], rig.TjffoDrawNow())
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer fleet.Close()
	r := &run{
		Fleet: fleet, clients: make(map[string][]*rig.Client), service: fleet.Net.ServiceAddress(1),
		sent: make(map[string]time.Time), via: make(map[string]string),
	}
	if err := r.start(); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for zone := range r.clients {
		load.Go(func() { r.load(ctx, zone) })
	}
	time.Sleep(2 * time.Second)
	for n := range rounds {
		r.round(n)
	}
	cancel()
	load.Wait()
	return r.judge()
}

func (r *run) start() error {
	number := 0
	for _, zone := range []string{"hobart-a", "kingston-b", "glenorchy-c"} {
		count := otherHostsAZone
		if zone == evacuatedZone {
			count = hostsPerZone
		}
		for range count {
			number++
			host := &rig.Host{ID: 0x7f3a9100 + uint64(number)*7919, Service: "fixtures", Zone: zone, Work: workTime, OnOpen: r.accepted}
			if err := host.Start(r.Net, number, r.Store, rig.Heartbeat); err != nil {
				return err
			}
			r.hosts = append(r.hosts, host)
			time.Sleep(170 * time.Millisecond) // hosts report at different moments
		}
	}
	r.PutConfig(1, []rig.Route{{Name: "r-0", Address: r.service, Kind: "non_idempotent", Service: "fixtures"}},
		[]map[string]any{rig.Service("fixtures", slowStartS, rampPerS)})
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
			r.clients[zone] = append(r.clients[zone], client)
		}
	}
	return nil
}

// load opens a flow for each request of the clients of a zone.
func (r *run) load(ctx context.Context, zone string) {
	rate := otherPerSecond
	if zone == evacuatedZone {
		rate = flowsPerSecond
	}
	var flows sync.WaitGroup
	defer flows.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		client := r.clients[zone][n%clientsPerZone]
		flows.Go(func() { r.request(client) })
	}
}

func (r *run) request(client *rig.Client) {
	flow, outcome := client.Open(r.service, func(f *rig.Flow, copies uint32) {
		r.mu.Lock()
		defer r.mu.Unlock()
		key := fmt.Sprintf("%s/%d", f.Name(), copies)
		r.sent[key], r.via[key] = time.Now(), f.VMOf()
	})
	if outcome == rig.Served {
		outcome = flow.Request(flow.Name(), requestTimeout)
		flow.Close()
	}
	if outcome == rig.Served {
		r.served.Add(1)
	} else {
		r.failed.Add(1)
	}
	r.Record.Logf("request %s: outcome %d, host %s", flow.Name(), outcome, flow.Host)
}

// accepted is called when a host takes an opening packet.
func (r *run) accepted(h *rig.Host, flow string, copies uint32) {
	if !h.ColdNow() {
		return
	}
	r.Record.Logf("cold host %s takes flow %s", h.Key(), flow)
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprintf("%s/%d", flow, copies)
	r.arrivals = append(r.arrivals, arrival{host: h, sent: r.sent[key], at: time.Now(), vm: r.via[key]})
}

// round evacuates the zone and takes it back; meanwhile the VMs of the zone are stopped in
// turn as planned and started again.
func (r *run) round(n int) {
	r.Store.Put("op/evacuate/"+evacuatedZone, map[string]any{})
	r.Record.Logf("round %d: evacuation of %s acknowledged", n, evacuatedZone)
	end := time.Now().Add(evacuationTime)
	var restarts sync.WaitGroup
	if os.Getenv("TROUBLE") != "0" {
		restarts.Go(func() {
			// The second VM ends at about the end of the evacuation.
			time.Sleep(time.Until(end) - 2*restartGap)
			for _, vm := range r.VMs[:2] {
				restarts.Go(func() { r.restart(vm) })
				time.Sleep(restartGap)
			}
		})
	}
	time.Sleep(time.Until(end) - coldBefore)
	for _, host := range r.hosts {
		if host.Zone == evacuatedZone {
			host.SetCold(time.Duration(slowStartS * float64(time.Second)))
		}
	}
	time.Sleep(time.Until(end))
	r.Store.Put("op/evacuate/"+evacuatedZone, nil)
	r.Record.Logf("round %d: end of the evacuation acknowledged", n)
	restarts.Wait()
	time.Sleep(betweenRounds)
}

func (r *run) restart(vm *rig.VM) {
	r.Term(vm)
	time.Sleep(restartDelay)
	if err := r.Start(vm); err != nil {
		r.Record.Logf("%s: %v", vm.Name, err)
	}
}

// judge finds the second in which a cold host took most new flows.
func (r *run) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := 0
	for _, host := range r.hosts {
		var list []arrival
		for _, a := range r.arrivals {
			if a.host == host {
				list = append(list, a)
			}
		}
		slices.SortFunc(list, func(a, b arrival) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
		for first := 0; first < len(list); {
			inside := list[first:first]
			for _, a := range list[first:] {
				if a.at.Sub(list[first].sent) < time.Second {
					inside = append(inside, a)
				}
			}
			if len(inside) <= limit {
				first++
				continue
			}
			broken++
			by := make(map[string]int)
			for _, a := range inside {
				by[a.vm]++
			}
			var parts []string
			for vm, count := range by {
				parts = append(parts, fmt.Sprintf("%d through %s", count, vm))
			}
			slices.Sort(parts)
			r.Record.Logf("BROKEN: cold host %s took %d new flows within a second, %v are allowed: %s; the first was sent at %v",
				host.Key(), len(inside), limit, strings.Join(parts, ", "), r.Record.At(list[first].sent))
			for end := list[first].sent.Add(time.Second); first < len(list) && list[first].sent.Before(end); {
				first++
			}
		}
	}
	summary := fmt.Sprintf("%d requests served, %d failed, %d new flows at cold hosts, %d seconds with more than %v at one cold host",
		r.served.Load(), r.failed.Load(), len(r.arrivals), broken, limit)
	r.Record.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case broken > 0:
		return exitBroken
	case r.served.Load() == 0 || len(r.arrivals) == 0:
		return exitNotRun
	}
	return 0
}
