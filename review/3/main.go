// Command 3 shows that a VM sends a copy of an opening packet to the service that an older
// configuration named, long after it has put a newer one in force.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	length        = 85 * time.Second
	contactTime   = 5 * time.Second
	rollbackSlack = 250 * time.Millisecond
	// A host that goes down and up is down for flapHalf and up for flapHalf. Other hosts do
	// so after flapPeriods.
	flapHalf    = 700 * time.Millisecond
	flapPeriods = 4
	// The configuration changes in every second period, changeAfter its start.
	changeAfter     = 400 * time.Millisecond
	clientsPerZone  = 10
	flowPause       = 900 * time.Millisecond
	requestTimeout  = 2 * time.Second
	workTime        = 10 * time.Millisecond
	hostsPerService = 30
	exitBroken      = 1
	exitNotRun      = 2
)

var services = []string{"fixtures", "results"}

// change is one version of the configuration.
type change struct {
	version int
	service string
	at      time.Time
}

// opening is what is known of the opening packet that a host took.
type opening struct {
	host   *rig.Host
	vm     string
	sent   time.Time
	at     time.Time
	copies uint32
}

type run struct {
	*rig.Fleet
	hosts   []*rig.Host
	clients []*rig.Client
	service netip.AddrPort
	served  atomic.Int64
	failed  atomic.Int64

	mu       sync.Mutex
	changes  []change
	sent     map[string]time.Time
	via      map[string]string
	openings map[string]opening
	// seen is when a host first saw the effect of the newest version through a VM.
	seen   map[string]time.Time
	broken int
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
		Fleet: fleet, service: fleet.Net.ServiceAddress(1), sent: make(map[string]time.Time),
		via: make(map[string]string), openings: make(map[string]opening), seen: make(map[string]time.Time),
	}
	if err := r.start(); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	time.Sleep(contactTime) // after it the machines are in touch
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var parts sync.WaitGroup
	for _, client := range r.clients {
		parts.Go(func() { r.load(ctx, client) })
	}
	r.changeAndFlap(ctx)
	parts.Wait()
	summary := fmt.Sprintf("%d requests served, %d failed, %d run by the service of an older version after its VM had shown the effect of a newer one",
		r.served.Load(), r.failed.Load(), r.broken)
	r.Record.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case r.broken > 0:
		return exitBroken
	case r.served.Load() == 0:
		return exitNotRun
	}
	return 0
}

func (r *run) start() error {
	number := 0
	zones := []string{"hobart-a", "kingston-b", "glenorchy-c"}
	for _, service := range services {
		for n := range hostsPerService {
			zone := zones[n%len(zones)]
			number++
			host := &rig.Host{ID: 0x7f3a9100 + uint64(number)*7919, Service: service, Zone: zone, Work: workTime, OnOpen: r.accepted, OnRun: r.ran}
			if err := host.Start(r.Net, number, r.Store, rig.Heartbeat); err != nil {
				return err
			}
			r.hosts = append(r.hosts, host)
		}
	}
	r.change(1)
	if err := r.StartAll(context.Background()); err != nil {
		return err
	}
	if !r.WaitReady(15 * time.Second) {
		return fmt.Errorf("not all VMs became ready")
	}
	number = 0
	for _, zone := range zones {
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

// change writes a version that removes the route and adds one with the same address that
// leads to the other service.
func (r *run) change(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	service := services[len(r.changes)%len(services)]
	at := r.PutConfig(version, []rig.Route{{Name: fmt.Sprintf("r-%d", version), Address: r.service, Kind: "non_idempotent", Service: service}},
		[]map[string]any{rig.Service(services[0], 2, 0), rig.Service(services[1], 2, 0)})
	r.Record.Logf("version %d leads to %s", version, service)
	r.changes = append(r.changes, change{version: version, service: service, at: at})
	clear(r.seen)
}

// load opens a flow for each request of a client, with pauses.
func (r *run) load(ctx context.Context, client *rig.Client) {
	for ctx.Err() == nil {
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
		time.Sleep(flowPause/2 + time.Duration(rand.Int64N(int64(flowPause))))
	}
}

// changeAndFlap changes the configuration in every second period, while a tenth of the
// hosts is down.
func (r *run) changeAndFlap(ctx context.Context) {
	trouble := os.Getenv("TROUBLE") != "0"
	var flapping []*rig.Host
	for n := 0; ctx.Err() == nil; n++ {
		if trouble && n%flapPeriods == 0 {
			flapping = r.pickHosts()
		}
		setDark(flapping, true)
		time.Sleep(changeAfter)
		if n%2 == 0 {
			r.change(3 + n)
		}
		time.Sleep(flapHalf - changeAfter)
		setDark(flapping, false)
		time.Sleep(flapHalf)
	}
}

// pickHosts picks one host of each service in each zone, a tenth of all.
func (r *run) pickHosts() (list []*rig.Host) {
	for _, i := range rand.Perm(len(r.hosts)) {
		h := r.hosts[i]
		if !slices.ContainsFunc(list, func(o *rig.Host) bool { return o.Zone == h.Zone && o.Service == h.Service }) {
			list = append(list, h)
			r.Record.Logf("%s of %s in %s goes down and up", h.Key(), h.Service, h.Zone)
		}
	}
	return list
}

func setDark(hosts []*rig.Host, dark bool) {
	for _, h := range hosts {
		h.SetDark(dark)
	}
}

// accepted is called when a host takes an opening packet.
func (r *run) accepted(h *rig.Host, flow string, copies uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprintf("%s/%d", flow, copies)
	o := opening{host: h, vm: r.via[key], sent: r.sent[key], at: time.Now(), copies: copies}
	r.openings[flow] = o
	newest := r.changes[len(r.changes)-1]
	if h.Service == newest.service && o.sent.After(newest.at) && r.seen[o.vm].IsZero() {
		r.seen[o.vm] = o.at
	}
}

// ran is called when a host runs a request; the request's id is its flow.
func (r *run) ran(h *rig.Host, flow string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Record.Logf("%s of %s runs request %s", h.Key(), h.Service, flow)
	o, known := r.openings[flow]
	newest := r.changes[len(r.changes)-1]
	seen := r.seen[o.vm]
	if !known || o.host != h || h.Service == newest.service || seen.IsZero() || o.sent.Sub(seen) <= rollbackSlack {
		return
	}
	r.broken++
	r.Record.Logf("BROKEN: %s of service %s ran request %s; its opening packet (copy %d) was sent at %s through %s; version %d, which leads to %s, was acknowledged at %s, and a host saw its effect through this VM at %s, %v before",
		h.Key(), h.Service, strings.TrimSpace(flow), o.copies, r.Record.At(o.sent), o.vm, newest.version, newest.service,
		r.Record.At(newest.at), r.Record.At(seen), o.sent.Sub(seen).Round(time.Millisecond))
}
