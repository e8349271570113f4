package emulator

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"baobabstep"
	"baobabstep/core/mix"
	"baobabstep/core/token"
)

const (
	// lead is how long VMs run before the first request.
	lead = 3 * time.Second
	// startSpread is the time within which VMs start.
	startSpread = 300 * time.Millisecond
	// swing and period are those of the wave of the usual traffic.
	swing  = 0.15
	period = 11 * time.Second
	// seedCount is the number of VMs whose addresses all know.
	seedCount = 3
	// servicePort is that of the service addresses.
	servicePort = 443
	// idleTimeout is the routing table's.
	idleTimeout = 15 * time.Second
	// coldOvershoot and coldSlack are those of the VMs' settings: a cold target may
	// get as many times its limit, and as many flows more, in any second.
	coldOvershoot = 1.5
	coldSlack     = 5.0
	// leavingBound is how soon after a target says that it leaves the last new flow
	// may come.
	leavingBound = 3 * time.Second
	// evacuationBound is how soon after operators ask for it a data centre may get
	// no new flow.
	evacuationBound = 5 * time.Second
)

// Options are what a [World] is made of besides its deployment.
type Options struct {
	Seed     uint64
	Troubles []Trouble
	// Policy, if set, changes the options of each VM's router.
	Policy func(*token.Options)
}

// World is one day.
type World struct {
	deployment *Deployment
	seed       uint64
	o          Options
	now        time.Duration
	queue      queue
	links      links
	store      store
	fabric     fabric
	sites      []site
	vms        []*vm
	byAddress  map[netip.AddrPort]*vm
	callers    map[netip.Addr]*caller
	targets    map[baobabstep.TargetID]*target
	order      []*target // in the order in which they appeared
	addresses  map[*Class]netip.AddrPort
	burst      float64
	// evacuated are the data centres that get no new flow, and since when.
	evacuated map[int]time.Duration
	result    *Result
	out       []baobabstep.OutgoingDatagram
	// luck draws what depends on decisions; what callers draw has streams of
	// its own.
	luck *rand.Rand
}

// site is a data centre.
type site struct {
	vms     []*vm
	callers []*caller
}

// Streams of random numbers.
const (
	streamLuck = iota + 1
	streamTroubles
	streamArrivals
)

// New returns a day that has not begun. Errors: CodeInvalid.
func New(d *Deployment, o Options) (*World, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	w := &World{
		deployment: d, seed: o.Seed, o: o, burst: 1,
		byAddress: make(map[netip.AddrPort]*vm), callers: make(map[netip.Addr]*caller), targets: make(map[baobabstep.TargetID]*target),
		addresses: make(map[*Class]netip.AddrPort), sites: make([]site, len(d.DataCentres)), evacuated: make(map[int]time.Duration),
		luck: rand.New(rand.NewPCG(o.Seed, streamLuck)),
	}
	w.result = newResult(w)
	w.links = links{world: w, o: d.Links, cut: make(map[int]bool), loss: make(map[int]float64), double: make(map[int]float64)}
	w.store = store{world: w, slow: 1, awayUntil: -lead, watchAt: -lead}
	w.fabric.world = w
	for i := range d.Classes {
		w.addresses[&d.Classes[i]] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), servicePort)
	}
	w.populate()
	return w, nil
}

// populate makes VMs, targets and callers.
func (w *World) populate() {
	for i := range w.deployment.DataCentres {
		dc := &w.deployment.DataCentres[i]
		for n := range dc.VMs {
			v := newVM(w, i, n+1)
			w.vms = append(w.vms, v)
			w.sites[i].vms = append(w.sites[i].vms, v)
			w.byAddress[v.at] = v
		}
		for n := range dc.Callers {
			c := &caller{
				world: w, site: i, entry: i, port: firstPort, flows: make(map[uint16]*flow), idle: make(map[*Class][]*flow),
				address: netip.AddrFrom4([4]byte{100, byte(64 + i), byte(n >> 8), byte(n)}),
			}
			w.sites[i].callers, w.callers[c.address] = append(w.sites[i].callers, c), c
		}
	}
	for s := range w.deployment.Services {
		for i, count := range w.deployment.Services[s].Targets {
			for range count {
				w.addTarget(&w.deployment.Services[s], i).up = true
			}
		}
	}
}

func (w *World) addTarget(s *Service, site int) *target {
	id := baobabstep.TargetID(mix.Uint64(w.seed+uint64(len(w.order))*7919+1)>>24 | 1)
	t := &target{world: w, id: id, life: 1, service: s, site: site, slow: 1, holds: make(map[*flow]bool), hung: make(map[*flow]*job)}
	w.targets[id] = t
	w.order = append(w.order, t)
	return t
}

// Play plays the day and returns what became of it.
func (w *World) Play() *Result {
	w.now = -lead
	for _, v := range w.vms {
		w.after(time.Duration(w.luck.Int64N(int64(startSpread))), v.start)
		w.after(startSpread, func() { w.fabric.check(v) })
	}
	draw := rand.New(rand.NewPCG(w.seed, streamTroubles))
	for _, t := range w.o.Troubles {
		stream := rand.New(rand.NewPCG(draw.Uint64(), streamTroubles))
		w.queue.push(t.AtMS.D(), func() { w.trouble(t, stream) })
	}
	for i := range w.sites {
		arrivals := rand.New(rand.NewPCG(w.seed, streamArrivals+uint64(i)))
		w.queue.push(0, func() { w.arrive(i, arrivals) })
	}
	for i := range w.result.Windows {
		w.queue.push(time.Duration(i)*windowLength+windowLength/2, w.noteCapacity)
	}
	end := w.length() + w.longestLimit()
	for len(w.queue.events) > 0 {
		e := w.queue.pop()
		if e.at > end {
			break
		}
		w.now = e.at
		e.do()
	}
	w.result.finish()
	return w.result
}

func (w *World) length() time.Duration {
	return time.Duration(w.deployment.Seconds * float64(time.Second))
}

func (w *World) longestLimit() (longest time.Duration) {
	for i := range w.deployment.Classes {
		longest = max(longest, w.deployment.Classes[i].LimitMS.D())
	}
	return longest + time.Second
}

// after plans something.
func (w *World) after(d time.Duration, do func()) { w.queue.push(w.now+d, do) }

// epoch is the time of day at the first request.
var epoch = time.Unix(1_800_000_000, 0)

// time returns the present time of day.
func (w *World) time() time.Time { return epoch.Add(w.now) }

// arrive begins a request at a data centre and plans the next.
func (w *World) arrive(i int, arrivals *rand.Rand) {
	if w.now >= w.length() {
		return
	}
	dc := &w.deployment.DataCentres[i]
	rate := dc.PerSecond * w.burst * (1 + swing*math.Sin(2*math.Pi*(w.now.Seconds()/period.Seconds()+float64(i)/float64(len(w.sites)))))
	w.sites[i].draw(w, arrivals)
	if rate > 0 {
		w.after(time.Duration(arrivals.ExpFloat64()/rate*float64(time.Second)), func() { w.arrive(i, arrivals) })
	}
}

// draw begins a request of a caller of the data centre.
func (s *site) draw(w *World, arrivals *rand.Rand) {
	class := w.drawClass(arrivals.Float64())
	c := s.callers[arrivals.IntN(len(s.callers))]
	c.begin(&request{
		class: class, caller: c, since: w.now,
		work:   logNormal(arrivals, float64(class.WorkMS), class.WorkSpread),
		ask:    int(logNormal(arrivals, class.AskBytes, class.AskSpread)) + headBytes,
		answer: int(logNormal(arrivals, class.AnswerBytes, class.AnswerSpread)),
	})
}

func (w *World) drawClass(at float64) *Class {
	total := 0.0
	for i := range w.deployment.Classes {
		total += w.deployment.Classes[i].Share
	}
	at *= total
	last := len(w.deployment.Classes) - 1
	for i := range w.deployment.Classes[:last] {
		if at < w.deployment.Classes[i].Share {
			return &w.deployment.Classes[i]
		}
		at -= w.deployment.Classes[i].Share
	}
	return &w.deployment.Classes[last]
}

// logNormal draws a number with a mean, whose logarithm has a deviation.
func logNormal(draw *rand.Rand, mean, deviation float64) float64 {
	return mean * math.Exp(deviation*draw.NormFloat64()-deviation*deviation/2)
}

// options returns the options of a VM's router under the day's policy.
func (w *World) options(o token.Options) token.Options {
	if w.o.Policy != nil {
		w.o.Policy(&o)
	}
	return o
}

func (w *World) seeds() (list []netip.AddrPort) {
	for _, v := range w.vms[:min(seedCount, len(w.vms))] {
		list = append(list, v.at)
	}
	return list
}

func (w *World) table() *baobabstep.RoutingTable {
	t := &baobabstep.RoutingTable{Version: 1, IdleTimeout: idleTimeout}
	for i := range w.deployment.Classes {
		c := &w.deployment.Classes[i]
		t.Rules = append(t.Rules, baobabstep.Rule{
			Name: c.Name, Address: w.addresses[c], Repeatable: c.Idempotent, LatencyObjective: c.AimMS.D(), Priority: c.Priority, Shares: []baobabstep.Share{{Service: c.Service, Weight: 1}},
		})
	}
	for _, s := range w.deployment.Services {
		if s.ColdPerSecond > 0 {
			t.ColdLimits = append(t.ColdLimits, baobabstep.ColdLimit{Service: s.Name, PerSecond: s.ColdPerSecond, Duration: s.ColdMS.D()})
		}
	}
	return t
}

// registrations returns what the store holds.
func (w *World) registrations() (list []baobabstep.Registration) {
	for _, t := range w.order {
		if t.up {
			list = append(list, t.registration())
		}
	}
	return list
}
