// Package stream serves callers whose TCP connection reaches one VM whole.
//
// For each service with Stream set, a [Proxy] listens at the service's port,
// picks a target through the same [baobabstep.Chooser] that flows use, connects
// to it, and copies bytes both ways until both directions have ended. While no
// byte of the caller has gone out, a target that cannot be reached is replaced
// by another.
//
// A connection lives in this process alone. It survives changes of the
// configuration, but not the end of the VM: a planned stop waits for it up to a
// limit, and a VM that dies ends it.
package stream

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
)

// Limits of a Proxy. Zero values take the defaults.
type Limits struct {
	// Connections bounds the open connections of one VM; default 16,384.
	Connections int
	// ConnectionsPerCaller bounds those of one caller IP; default 1,024. It
	// keeps a caller that opens and says nothing from taking every place.
	ConnectionsPerCaller int
	// ConnectTimeout bounds one connection attempt to a target; default 2 s.
	ConnectTimeout time.Duration
	// Attempts bounds the targets tried for one caller; default 3.
	Attempts int
	// WriteTimeout bounds one write to an end that has stopped reading;
	// default 2 min. Silence alone never ends a connection: TCP keep-alive
	// finds an end that is gone.
	WriteTimeout time.Duration
	// HalfClosedTimeout bounds the time between the ends of the two
	// directions; default 10 min.
	HalfClosedTimeout time.Duration
	// Buffer is the size in bytes of each direction's buffer; default 32 KiB.
	Buffer int
}

// Defaults of Limits.
var defaults = Limits{
	Connections:          16384,
	ConnectionsPerCaller: 1024,
	ConnectTimeout:       2 * time.Second,
	Attempts:             3,
	WriteTimeout:         2 * time.Minute,
	HalfClosedTimeout:    10 * time.Minute,
	Buffer:               32 << 10,
}

// keepAlive finds an end that is gone within about 60 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 30 * time.Second, Interval: 10 * time.Second, Count: 3}

// Options are what a Proxy needs.
type Options struct {
	// Host is the IP to listen on.
	Host netip.Addr
	// Near is the data centre whose targets are preferred.
	Near    string
	Chooser baobabstep.Chooser
	Clock   baobabstep.Clock
	// Draw returns a random number; it is called by several goroutines.
	Draw   func() uint64
	Limits Limits
	// Event counts an event by name; see Events.
	Event func(name string)
}

// Events that a Proxy counts.
var Events = []string{
	"accepted", "refused_limit", "refused_no_target", "connect_failed",
	"finished", "reset", "cut_at_stop", "listen_failed",
}

// Proxy listens for the stream services of the configuration in force.
type Proxy struct {
	options Options
	limits  Limits
	buffers sync.Pool
	open    atomic.Int64
	done    chan struct{}

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	perCaller map[netip.Addr]int
	active    map[net.Conn]struct{}
	stopping  bool
	running   sync.WaitGroup
}

// listener accepts the connections of one service address.
type listener struct {
	socket  net.Listener
	service atomic.Pointer[baobabstep.Service]
}

// New returns a Proxy that listens to nothing until SetConfig.
func New(o Options) *Proxy {
	p := &Proxy{
		options:   o,
		limits:    o.Limits.withDefaults(),
		done:      make(chan struct{}),
		listeners: make(map[netip.AddrPort]*listener),
		perCaller: make(map[netip.Addr]int),
		active:    make(map[net.Conn]struct{}),
	}
	if p.options.Event == nil {
		p.options.Event = func(string) {}
	}
	p.buffers.New = func() any {
		b := make([]byte, p.limits.Buffer)
		return &b
	}
	return p
}

func (l Limits) withDefaults() Limits {
	l.Connections = cmp.Or(l.Connections, defaults.Connections)
	l.ConnectionsPerCaller = cmp.Or(l.ConnectionsPerCaller, defaults.ConnectionsPerCaller)
	l.Attempts = cmp.Or(l.Attempts, defaults.Attempts)
	l.Buffer = cmp.Or(l.Buffer, defaults.Buffer)
	l.ConnectTimeout = cmp.Or(l.ConnectTimeout, defaults.ConnectTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, defaults.WriteTimeout)
	l.HalfClosedTimeout = cmp.Or(l.HalfClosedTimeout, defaults.HalfClosedTimeout)
	return l
}

// SetConfig starts and stops listeners to match c. Connections that are open
// go on, also those of services that c no longer has.
func (p *Proxy) SetConfig(ctx context.Context, c *baobabstep.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return
	}
	wanted := map[netip.AddrPort]*baobabstep.Service{}
	for i := range c.Services {
		service := &c.Services[i]
		if service.Stream {
			wanted[netip.AddrPortFrom(p.options.Host, service.Address.Port())] = service
		}
	}
	for address, l := range p.listeners {
		if wanted[address] == nil {
			l.socket.Close()
			delete(p.listeners, address)
		}
	}
	for address, service := range wanted {
		if l := p.listeners[address]; l != nil {
			l.service.Store(service)
			continue
		}
		p.listen(ctx, address, service)
	}
}

// listen is called with p.mu held.
func (p *Proxy) listen(ctx context.Context, address netip.AddrPort, service *baobabstep.Service) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	socket, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		p.options.Event("listen_failed")
		return
	}
	l := &listener{socket: socket}
	l.service.Store(service)
	p.listeners[address] = l
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		p.accept(ctx, l)
	}()
}

// accept runs until the listener is closed.
func (p *Proxy) accept(ctx context.Context, l *listener) {
	for {
		caller, err := l.socket.Accept()
		if err != nil {
			if !isTemporary(err) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		if !p.admit(caller) {
			p.options.Event("refused_limit")
			reset(caller)
			continue
		}
		p.options.Event("accepted")
		go func() {
			defer p.release(caller)
			p.serve(ctx, l.service.Load(), caller)
		}()
	}
}

// admit counts a connection in, unless a limit is reached.
func (p *Proxy) admit(caller net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := callerIP(caller)
	full := len(p.active) >= p.limits.Connections || p.perCaller[from] >= p.limits.ConnectionsPerCaller
	if full || p.stopping {
		return false
	}
	p.active[caller] = struct{}{}
	p.perCaller[from]++
	p.running.Add(1)
	p.open.Add(1)
	return true
}

func (p *Proxy) release(caller net.Conn) {
	caller.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	from := callerIP(caller)
	delete(p.active, caller)
	if p.perCaller[from]--; p.perCaller[from] <= 0 {
		delete(p.perCaller, from)
	}
	p.open.Add(-1)
	p.running.Done()
}

// serve connects the caller to a target and copies until both ends are done.
func (p *Proxy) serve(ctx context.Context, service *baobabstep.Service, caller net.Conn) {
	target, id, code := p.connect(ctx, service)
	if code != baobabstep.CodeOK {
		p.options.Event("refused_no_target")
		reset(caller)
		return
	}
	defer func() { p.options.Chooser.FlowClosed(p.options.Clock.Now(), id) }()
	defer target.Close()
	if p.copyBoth(caller, target) {
		p.options.Event("finished")
		return
	}
	p.options.Event("reset")
	reset(caller)
	reset(target)
}

// connect tries targets until one accepts. Nothing of the caller has been sent
// yet, so another target is as good.
func (p *Proxy) connect(ctx context.Context, service *baobabstep.Service) (net.Conn, baobabstep.TargetID, baobabstep.Code) {
	dialer := net.Dialer{Timeout: p.limits.ConnectTimeout, KeepAliveConfig: keepAlive}
	code := baobabstep.CodeNoTarget
	for range p.limits.Attempts {
		now := p.options.Clock.Now()
		var id baobabstep.TargetID
		id, code = p.options.Chooser.PickFlow(now, service, p.options.Near, p.options.Draw())
		if code != baobabstep.CodeOK {
			return nil, 0, code
		}
		target, err := dialer.DialContext(ctx, "tcp", addressOf(service, id).String())
		if err == nil {
			return target, id, baobabstep.CodeOK
		}
		p.options.Event("connect_failed")
		code = baobabstep.CodeTargetGone
		p.options.Chooser.FlowRefused(p.options.Clock.Now(), id, code)
	}
	return nil, 0, code
}

func addressOf(service *baobabstep.Service, id baobabstep.TargetID) netip.AddrPort {
	for i := range service.Targets {
		if service.Targets[i].ID == id {
			return service.Targets[i].Address
		}
	}
	return netip.AddrPort{}
}

// Stop closes the listeners and waits for open connections until ctx ends; it
// cuts those that remain and returns their number.
func (p *Proxy) Stop(ctx context.Context) (cut int) {
	p.mu.Lock()
	if p.stopping {
		p.mu.Unlock()
		<-p.done
		return 0
	}
	p.stopping = true
	for address, l := range p.listeners {
		l.socket.Close()
		delete(p.listeners, address)
	}
	p.mu.Unlock()

	idle := make(chan struct{})
	go func() {
		defer close(idle)
		p.running.Wait()
	}()
	select {
	case <-idle:
	case <-ctx.Done():
		cut = p.cutAll()
		<-idle
	}
	close(p.done)
	return cut
}

func (p *Proxy) cutAll() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for caller := range p.active {
		p.options.Event("cut_at_stop")
		reset(caller)
	}
	return len(p.active)
}

// Done is closed when Stop has finished.
func (p *Proxy) Done() <-chan struct{} { return p.done }

// Open returns the number of open connections.
func (p *Proxy) Open() int { return int(p.open.Load()) }
