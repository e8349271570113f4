package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// When a client sends the copies of its opening packet, and gives up, and how long it waits
// for an answer to a packet before it sends it again.
const (
	firstCopy      = 200 * time.Millisecond
	secondCopy     = 600 * time.Millisecond
	openLimit      = 1400 * time.Millisecond
	firstRepeat    = 200 * time.Millisecond
	longestRepeat  = 1600 * time.Millisecond
	firstLocalPort = 1024
)

// outcome is how an attempt ended for its client.
type outcome string

const (
	answered    outcome = "answered"
	resetByVM   outcome = "reset by the system"
	resetByHost outcome = "reset by a host"
	timedOut    outcome = "no answer"
)

var attempts atomic.Uint64

func newAttempt() string { return fmt.Sprintf("a-%06d", attempts.Add(1)) }

// client has one address. pick returns the VM that gets the packets of a flow.
type client struct {
	socket *net.UDPConn
	pick   func(flowID) netip.AddrPort

	mu    sync.Mutex
	port  uint16
	flows map[flowID]*flow
}

// arrival is a packet that reached the client.
type arrival struct {
	packet
	own  bool
	from netip.AddrPort
}

// flow is a flow as its client sees it. It is for one goroutine.
type flow struct {
	client   *client
	id       flowID
	echo     uint32
	seq, ack uint32
	// acked is when the client acknowledged the host's opening packet, lastUsed when it
	// last sent or received something.
	acked, lastUsed time.Time
	arrivals        chan arrival
}

func newClient(address netip.AddrPort, pick func(flowID) netip.AddrPort) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(1 << 20)
	c := &client{socket: socket, pick: pick, port: firstLocalPort, flows: map[flowID]*flow{}}
	go c.receiveLoop()
	return c, nil
}

func (c *client) close() { _ = c.socket.Close() }

func (c *client) receiveLoop() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, intact, own := decode(append([]byte(nil), buffer[:n]...))
		if !intact && !own {
			continue
		}
		c.mu.Lock()
		f := c.flows[flowID{client: p.dst, route: p.src}]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.arrivals <- arrival{packet: p, own: own, from: from}:
		default:
		}
	}
}

// newFlow returns a flow from a new port.
func (c *client) newFlow(route netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	local := c.socket.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
	f := &flow{client: c, id: flowID{client: netip.AddrPortFrom(local, c.port), route: route}, seq: rand.Uint32(), arrivals: make(chan arrival, 64)}
	c.flows[f.id] = f
	return f
}

// open opens the flow. Until it is open, the client sends two copies.
func (f *flow) open() outcome {
	seq := f.seq
	copies := uint32(0)
	send := func() {
		f.transmit(&packet{flags: flagSyn, seq: seq, ack: copies})
		copies++
	}
	send()
	first, second, limit := time.After(firstCopy), time.After(secondCopy), time.After(openLimit)
	for {
		select {
		case <-first:
			send()
		case <-second:
			send()
		case <-limit:
			return timedOut
		case a := <-f.arrivals:
			switch {
			case a.flags&flagReset != 0:
				return resetCause(a)
			case a.flags&flagSyn == 0:
				continue
			}
			f.seq, f.ack, f.echo = seq+1, a.seq+1, a.echo
			f.acked = time.Now()
			f.transmit(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
			return answered
		}
	}
}

func resetCause(a arrival) outcome {
	if a.own {
		return resetByVM
	}
	return resetByHost
}

// request sends a request on the open flow and waits for its answer, for limit at most. from is
// who sent the packet that decided.
func (f *flow) request(attempt string, work, limit time.Duration) (result outcome, from netip.AddrPort) {
	if result, from, ended := f.readPending(); ended {
		return result, from
	}
	data := fmt.Appendf(nil, "POST /order HTTP/1.1\r\nHost: %v\r\nAttempt-Id: %s\r\nWork-Ms: %d\r\nContent-Length: 0\r\n\r\n", f.id.route, attempt, work.Milliseconds())
	seq := f.seq
	f.seq += uint32(len(data))
	acknowledged := false
	f.transmit(&packet{flags: flagAck, seq: seq, ack: f.ack, data: data})
	wait := firstRepeat
	repeat, end := time.After(wait), time.After(limit)
	for {
		select {
		case <-end:
			return timedOut, netip.AddrPort{}
		case <-repeat:
			if !acknowledged {
				f.transmit(&packet{flags: flagAck, seq: seq, ack: f.ack, data: data})
				wait = min(2*wait, longestRepeat)
				repeat = time.After(wait)
			}
		case a := <-f.arrivals:
			if a.flags&flagReset != 0 {
				return resetCause(a), a.from
			}
			f.echo, f.lastUsed = a.echo, time.Now()
			acknowledged = acknowledged || a.ack == f.seq
			if len(a.data) == 0 || a.seq != f.ack || !bytes.Contains(a.data, []byte(attempt+" done")) {
				continue
			}
			f.ack += uint32(len(a.data))
			f.transmit(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
			return answered, a.from
		}
	}
}

// readPending reads what arrived on the flow while nothing was asked. ended says that it was
// reset. Of all packets of the flow, the client takes over the echo.
func (f *flow) readPending() (result outcome, from netip.AddrPort, ended bool) {
	for {
		select {
		case a := <-f.arrivals:
			if a.flags&flagReset != 0 {
				return resetCause(a), a.from, true
			}
			f.echo = a.echo
		default:
			return "", netip.AddrPort{}, false
		}
	}
}

// close closes the flow from the client's side.
func (f *flow) close() {
	f.transmit(&packet{flags: flagAck | flagFin, seq: f.seq, ack: f.ack})
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.id)
}

func (f *flow) transmit(p *packet) {
	p.src, p.dst, p.echo = f.id.client, f.id.route, f.echo
	f.lastUsed = time.Now()
	_, _ = f.client.socket.WriteToUDPAddrPort(p.encode(), f.client.pick(f.id))
}
