// Package callers stands in for those who use the services. It holds long
// flows and issues requests over UDP through the fabric, and believes nothing:
// each answer is compared byte for byte with what its own request must give,
// each flow's data with the target that it was opened on.
//
// The load is spread over several sockets, each with a worker that owns its
// flows and requests under its own lock.
package callers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baobabstep"
	"baobabstep/io/wire"
)

// Settings are those of the whole process.
type Settings struct {
	Seed           uint64 `json:"seed"`
	ControlAddress string `json:"control_address"`
	// Edge is the fabric's address for callers.
	Edge netip.AddrPort `json:"edge"`
	// Host is the IP that the callers' sockets are bound to.
	Host     netip.Addr        `json:"host"`
	Sockets  int               `json:"sockets"`
	Services []ServiceSettings `json:"services"`
	// RampMS is the time over which the flows are opened.
	RampMS int `json:"ramp_ms"`
	// KeepaliveMS is the time between the signs of life of a flow.
	KeepaliveMS int `json:"keepalive_ms"`
	// SilenceMS is how long a caller repeats itself before it calls a flow
	// broken.
	SilenceMS         int `json:"silence_ms"`
	UrgentTimeoutMS   int `json:"urgent_timeout_ms"`
	OrdinaryTimeoutMS int `json:"ordinary_timeout_ms"`
}

// ServiceSettings are the load on one service.
type ServiceSettings struct {
	// Name is "account/service".
	Name              string         `json:"name"`
	Address           netip.AddrPort `json:"address"`
	Flows             int            `json:"flows"`
	RequestsPerSecond float64        `json:"requests_per_second"`
	UrgentShare       float64        `json:"urgent_share"`
	IdempotentShare   float64        `json:"idempotent_share"`
	CancelledShare    float64        `json:"cancelled_share"`
}

const (
	tick         = 10 * time.Millisecond
	firstRepeat  = 250 * time.Millisecond
	maxRepeat    = time.Second
	reopenDelay  = 300 * time.Millisecond
	lastGrace    = time.Second
	socketBuffer = 4 << 20
)

// Process is all callers.
type Process struct {
	settings Settings
	started  time.Time
	workers  []*worker

	lock      sync.Mutex
	finishing bool
	counts    Counts
	latency   [2]*hdrhistogram.Histogram
	refused   []uint64
	broken    []Broken
	silent    []Silent
}

// service is a service as its callers know it.
type service struct {
	ServiceSettings
	id baobabstep.ServiceID
}

// worker owns one socket. Its lock guards everything below it.
type worker struct {
	process *Process
	socket  *net.UDPConn
	address netip.AddrPort
	done    chan struct{}

	lock     sync.Mutex
	random   *rand.Rand
	buf      []byte
	slots    []*flow
	flows    map[uint64]*flow
	requests map[uint64]*request
	arrivals []arrival
	retries  []retry
}

// New binds the sockets.
func New(s Settings) (*Process, error) {
	p := &Process{settings: s, counts: newCounts()}
	for i := range p.latency {
		p.latency[i] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	for i := range s.Sockets {
		w, err := newWorker(p, rand.New(rand.NewPCG(s.Seed, uint64(i))))
		if err != nil {
			return nil, err
		}
		p.workers = append(p.workers, w)
	}
	p.addLoad()
	return p, nil
}

func newWorker(p *Process, random *rand.Rand) (*worker, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.settings.Host, 0)))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBuffer)
	return &worker{
		process:  p,
		socket:   socket,
		address:  socket.LocalAddr().(*net.UDPAddr).AddrPort(),
		done:     make(chan struct{}),
		random:   random,
		flows:    make(map[uint64]*flow),
		requests: make(map[uint64]*request),
	}, nil
}

// addLoad deals the flows out in the order in which they open, and the arrivals.
func (p *Process) addLoad() {
	ramp := time.Duration(p.settings.RampMS) * time.Millisecond
	for _, settings := range p.settings.Services {
		account, name, _ := strings.Cut(settings.Name, "/")
		s := &service{settings, baobabstep.MakeServiceID(account, name)}
		for i := range s.Flows {
			w := p.workers[i%len(p.workers)]
			w.slots = append(w.slots, &flow{service: s, next: ramp * time.Duration(i) / time.Duration(s.Flows)})
		}
		for _, w := range p.workers {
			if rate := s.RequestsPerSecond / float64(len(p.workers)); rate > 0 {
				w.arrivals = append(w.arrivals, arrival{service: s, rate: rate})
			}
		}
	}
}

// Run drives the load until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	p.started = time.Now()
	for _, w := range p.workers {
		go w.receive()
		go w.run(ctx)
	}
	for _, w := range p.workers {
		<-w.done
	}
	return nil
}

// now is the time since Run. All schedules are in it.
func (p *Process) now() time.Duration { return time.Since(p.started) }

func (w *worker) run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = w.socket.Close()
			return
		case <-ticker.C:
			w.step(w.process.now())
		}
	}
}

// step does what is due.
func (w *worker) step(now time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	finishing := w.process.isFinishing()
	for _, f := range w.slots {
		w.stepFlow(f, now, finishing)
	}
	if !finishing {
		w.arrive(now)
	}
	for _, r := range w.requests {
		w.stepRequest(r, now)
	}
}

func (w *worker) receive() {
	buf := make([]byte, wire.MaxDatagram+1)
	var p baobabstep.Packet
	for {
		n, err := w.socket.Read(buf)
		if err != nil {
			return
		}
		if wire.Decode(buf[:n], &p, nil) != nil {
			w.process.count(func(c *Counts) { c.Undecodable++ })
			continue
		}
		w.handle(&p)
	}
}

func (w *worker) handle(p *baobabstep.Packet) {
	w.lock.Lock()
	defer w.lock.Unlock()
	now := w.process.now()
	if f := w.flows[p.Flow.Number]; f != nil {
		w.handleFlow(f, p, now)
		return
	}
	if r := w.requests[p.Flow.Number]; r != nil {
		w.handleRequest(r, p, now)
		return
	}
	if p.Kind == baobabstep.KindProbe || p.Kind == baobabstep.KindData {
		w.send(&baobabstep.Packet{Kind: baobabstep.KindReset, Flow: p.Flow, Code: baobabstep.CodeUnknownFlow})
	}
}

func (w *worker) send(p *baobabstep.Packet) {
	b, err := wire.Append(w.buf[:0], p, wire.Key{})
	if err != nil {
		panic(err)
	}
	w.buf = b
	_, _ = w.socket.WriteToUDPAddrPort(b, w.process.settings.Edge)
}

func (w *worker) key(s *service, number uint64) baobabstep.FlowKey {
	return baobabstep.FlowKey{Caller: w.address, Service: s.Address, Number: number}
}
