package rig

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Host is one host of a service. It answers its clients directly, and reports to the
// store every heartbeat.
type Host struct {
	// ID is the host's id, and Service the service that it belongs to.
	ID            uint64
	Service, Zone string
	// Work is how long a request takes.
	Work time.Duration
	// OnOpen is called when the host takes the opening packet of a flow for the first
	// time; copies tells which copy of the client it was. OnRun is called with each
	// request that begins to run.
	OnOpen func(h *Host, flow string, copies uint32)
	OnRun  func(h *Host, attempt string)

	address netip.AddrPort
	port    uint16
	store   *Store
	socket  *net.UDPConn
	slots   chan struct{}

	mu        sync.Mutex
	dark      bool
	coldUntil time.Time
	sequence  int
	flows     map[flowID]*hostFlow
	// Strange counts packets with a wrong sum or for another host.
	Strange int
}

type hostFlow struct {
	first, next uint32 // sequence numbers of the host
	expected    uint32 // next byte of the client
	echo        uint32
	open        bool
	answer      []byte
	answerSeq   uint32
	acked       uint32
}

const (
	slots      = 2
	maxRepeats = 8
)

// Key returns the host's key in the store.
func (h *Host) Key() string { return fmt.Sprintf("servers/i-%08x", h.ID) }

// Start binds the host's address, registers the host and begins to report.
func (h *Host) Start(n *Net, number int, store *Store, heartbeat time.Duration) error {
	h.address, h.port, h.store = n.At(hostNet, number, n.HostPort), uint16(n.DataPort), store
	h.slots, h.flows = make(chan struct{}, slots), make(map[flowID]*hostFlow)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.address))
	if err != nil {
		return err
	}
	h.socket = socket
	h.Report()
	go h.receive()
	go func() {
		for range time.Tick(heartbeat) {
			h.Report()
		}
	}()
	return nil
}

// Report writes the host's entry, unless the host is dark.
func (h *Host) Report() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dark {
		return
	}
	h.sequence++
	left := max(0, time.Until(h.coldUntil).Milliseconds())
	h.store.Put(h.Key(), map[string]any{
		"service": h.Service, "address": h.address.String(), "zone": h.Zone, "version": "v1", "concurrency": slots,
		"state": "ready", "warmupLeftMs": left, "sequence": h.sequence,
	})
}

// SetDark makes the host deaf and mute, or ends that.
func (h *Host) SetDark(dark bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dark = dark
}

// SetCold makes the host cold for a time. Its next report says so.
func (h *Host) SetCold(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldUntil = time.Now().Add(d)
}

// ColdNow reports whether the host is cold. It is for OnOpen, which holds the lock.
func (h *Host) ColdNow() bool { return time.Now().Before(h.coldUntil) }

func (h *Host) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := h.socket.Read(buffer)
		if err != nil {
			return
		}
		if n >= idBytes {
			h.handle(binary.BigEndian.Uint64(buffer), buffer[idBytes:n])
		}
	}
}

func (h *Host) handle(to uint64, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, intact := decode(raw)
	switch {
	case h.dark:
		return
	case !intact || p.flags&flagSyn != 0 && p.flags&flagAck != 0:
		h.Strange++
		return
	case to != 0 && to != h.ID:
		return
	}
	id := flowID{client: p.src, service: p.dst}
	f := h.flows[id]
	switch {
	case p.flags&flagReset != 0:
		delete(h.flows, id)
	case p.flags&flagSyn != 0:
		h.accept(id, f, &p)
	case f == nil && p.flags&flagFin != 0:
		h.send(id, &packet{flags: flagAck, echo: p.echo, seq: p.ack, ack: p.seq + 1})
	case f == nil:
		h.send(id, &packet{flags: flagReset, echo: p.echo, seq: p.ack})
	default:
		h.advance(id, f, &p)
	}
}

func (h *Host) accept(id flowID, f *hostFlow, p *packet) {
	if f == nil {
		f = &hostFlow{first: rand.Uint32(), expected: p.seq + 1}
		f.next = f.first + 1
		h.flows[id] = f
		if h.OnOpen != nil {
			h.OnOpen(h, fmt.Sprintf("%v>%v", id.client, id.service), p.ack)
		}
	}
	f.echo = p.echo
	h.send(id, &packet{flags: flagSyn | flagAck, echo: f.echo, seq: f.first, ack: f.expected})
}

func (h *Host) advance(id flowID, f *hostFlow, p *packet) {
	if !f.open && p.ack != f.first+1 {
		return // the client opened the flow at another host
	}
	f.open, f.echo, f.acked = true, p.echo, p.ack
	end := p.seq + uint32(len(p.data))
	switch {
	case p.flags&flagFin != 0:
		h.send(id, &packet{flags: flagAck | flagFin, echo: f.echo, seq: f.next, ack: end + 1})
		delete(h.flows, id)
	case len(p.data) == 0:
	case p.seq == f.expected:
		f.expected = end
		h.send(id, &packet{flags: flagAck, echo: f.echo, seq: f.next, ack: f.expected})
		_, rest, _ := strings.Cut(string(p.data), "Attempt-Id: ")
		attempt, _, _ := strings.Cut(rest, "\r\n")
		go h.run(id, f, attempt)
	default:
		h.send(id, &packet{flags: flagAck, echo: f.echo, seq: f.next, ack: f.expected})
	}
}

// run runs one request once a slot is free and answers it, with retransmissions.
func (h *Host) run(id flowID, f *hostFlow, attempt string) {
	h.slots <- struct{}{}
	if h.OnRun != nil {
		h.OnRun(h, attempt)
	}
	time.Sleep(h.Work)
	<-h.slots
	body := strings.Repeat("x", 500)
	h.mu.Lock()
	f.answer = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: i-%08x\r\nAttempt-Id: %s\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\n%s", h.ID, attempt, len(body), body))
	f.answerSeq = f.next
	f.next += uint32(len(f.answer))
	mine, end := f.answerSeq, f.next
	h.mu.Unlock()
	wait := firstRepeat
	for range maxRepeats {
		h.mu.Lock()
		if f.answerSeq != mine || f.acked == end || h.flows[id] != f {
			h.mu.Unlock()
			return
		}
		if !h.dark {
			h.send(id, &packet{flags: flagAck, echo: f.echo, seq: f.answerSeq, ack: f.expected, data: f.answer})
		}
		h.mu.Unlock()
		time.Sleep(wait)
		wait = min(2*wait, longestRepeat)
	}
}

func (h *Host) send(id flowID, p *packet) {
	p.src, p.dst = id.service, id.client
	_, _ = h.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(id.client.Addr(), h.port)) // an unsent datagram counts as lost
}
