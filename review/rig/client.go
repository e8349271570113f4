package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times of a client that opens a flow, and of its retransmissions.
const (
	firstCopy      = 200 * time.Millisecond
	secondCopy     = 600 * time.Millisecond
	openLimit      = 1400 * time.Millisecond
	firstRepeat    = 200 * time.Millisecond
	longestRepeat  = 1600 * time.Millisecond
	firstLocalPort = 20000
)

// Outcome is how an attempt ended for its client.
type Outcome int

// Outcomes.
const (
	// Served: the flow opened, or the request was answered.
	Served Outcome = iota
	// NotOpened: the flow was reset, or no answer came, before it opened.
	NotOpened
	// ResetBySystem: an open flow got a reset that no host sent.
	ResetBySystem
	// ResetByHost: an open flow got a reset of a host.
	ResetByHost
	// GaveUp: the time limit passed.
	GaveUp
)

// Client is a client with one address in one zone.
type Client struct {
	zone   string
	fabric *Fabric
	socket *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowID]*Flow
}

// NewClient binds a client's address.
func NewClient(address netip.AddrPort, zone string, fabric *Fabric) (*Client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &Client{zone: zone, fabric: fabric, socket: socket, port: firstLocalPort, flows: make(map[flowID]*Flow)}
	go c.receive()
	return c, nil
}

func (c *Client) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := c.socket.Read(buffer)
		if err != nil {
			return
		}
		p, intact := decode(buffer[:n])
		system := p.flags&flagReset != 0 && p.sum == 0
		if !intact && !system {
			continue
		}
		c.mu.Lock()
		f := c.flows[flowID{client: p.dst, service: p.src}]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.received <- p:
		default: // as a full socket buffer
		}
	}
}

// Flow is one flow of a client, for one goroutine.
type Flow struct {
	client   *Client
	id       flowID
	received chan packet
	echo     uint32
	seq, ack uint32
	copies   uint32
	// OpenedAt is when the flow opened.
	OpenedAt time.Time
	// Host names the host that answered last.
	Host string
}

// Name returns the flow's ends as text.
func (f *Flow) Name() string { return fmt.Sprintf("%v>%v", f.id.client, f.id.service) }

// Open opens a flow to a service address. sent, if not nil, is called before each
// copy of the opening packet is sent.
func (c *Client) Open(service netip.AddrPort, sent func(f *Flow, copies uint32)) (*Flow, Outcome) {
	c.mu.Lock()
	c.port++
	address := c.socket.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	f := &Flow{client: c, id: flowID{client: netip.AddrPortFrom(address, c.port), service: service}, received: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[f.id] = f
	c.mu.Unlock()
	send := func() {
		if sent != nil {
			sent(f, f.copies)
		}
		f.send(packet{flags: flagSyn, seq: f.seq, ack: f.copies})
		f.copies++
	}
	send()
	limit, first, second := time.After(openLimit), time.After(firstCopy), time.After(secondCopy)
	for {
		select {
		case <-limit:
			f.forget()
			return f, NotOpened
		case <-first:
			send()
		case <-second:
			send()
		case p := <-f.received:
			switch {
			case p.flags&flagReset != 0:
				f.forget()
				return f, NotOpened
			case p.flags&flagSyn != 0 && p.flags&flagAck != 0 && p.ack == f.seq+1:
				f.seq++
				f.echo, f.ack, f.OpenedAt = p.echo, p.seq+1, time.Now()
				f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
				return f, Served
			}
		}
	}
}

// Request sends one request with an id of its own and waits for its answer.
func (f *Flow) Request(id string, limit time.Duration) Outcome {
	data := []byte("GET /run HTTP/1.1\r\nAttempt-Id: " + id + "\r\n\r\n")
	send := func() { f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack, data: data}) }
	send()
	wait, end := firstRepeat, time.After(limit)
	repeat := time.After(wait)
	for {
		select {
		case <-end:
			return GaveUp
		case <-repeat:
			send()
			wait = min(2*wait, longestRepeat)
			repeat = time.After(wait)
		case p := <-f.received:
			switch {
			case p.flags&flagReset != 0 && p.sum == 0:
				return ResetBySystem
			case p.flags&flagReset != 0:
				return ResetByHost
			case p.flags&flagSyn != 0 || len(p.data) == 0:
				f.echo = p.echo
			case p.seq != f.ack: // an answer that came before
				f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
			default:
				f.seq += uint32(len(data))
				f.ack += uint32(len(p.data))
				f.echo = p.echo
				_, rest, _ := strings.Cut(string(p.data), "Instance-Id: ")
				f.Host, _, _ = strings.Cut(rest, "\r\n")
				f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
				if !strings.Contains(string(p.data), "Attempt-Id: "+id+"\r\n") || !strings.HasPrefix(string(p.data), "HTTP/1.1 200") {
					return NotOpened
				}
				return Served
			}
		}
	}
}

// Pause waits while the flow has no request waiting, and returns early if it is reset.
func (f *Flow) Pause(d time.Duration) Outcome {
	end := time.After(d)
	for {
		select {
		case <-end:
			return Served
		case p := <-f.received:
			switch {
			case p.flags&flagReset != 0 && p.sum == 0:
				return ResetBySystem
			case p.flags&flagReset != 0:
				return ResetByHost
			case len(p.data) > 0:
				f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
			}
		}
	}
}

// Close ends the flow.
func (f *Flow) Close() {
	f.send(packet{flags: flagAck | flagFin, seq: f.seq, ack: f.ack})
	f.forget()
}

func (f *Flow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.id)
}

func (f *Flow) send(p packet) {
	p.src, p.dst, p.echo = f.id.client, f.id.service, f.echo
	if to, ok := f.client.fabric.pick(f.client.zone, f.id); ok {
		_, _ = f.client.socket.WriteToUDPAddrPort(p.encode(), to) // an unsent datagram counts as lost
	}
}
