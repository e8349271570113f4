package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"baobabstep/platform/standin"
)

const (
	// heartbeat is the time between two status reports of a host.
	heartbeat = 1200 * time.Millisecond
	// delayedAck is how long an end waits for a packet of its own to carry an
	// acknowledgement.
	delayedAck = 40 * time.Millisecond
	// hostSlots is how many requests a host works on at once.
	hostSlots = 2
	// maxRepeats is the number of repetitions after which a host gives up.
	maxRepeats = 8
)

// host is one back end. It accepts flows while it holds fewer than its maximum, works on
// as many requests at once as it has slots, and answers its clients directly.
type host struct {
	record   *record
	name     string
	id       uint64
	service  string
	zone     string
	address  netip.AddrPort
	slots    chan struct{}
	socket   *net.UDPConn
	store    *standin.Store
	stop     chan struct{}
	sequence int

	// loss is the share of its datagrams that are lost on their way to clients.
	loss float64

	mu    sync.Mutex
	flows map[flowID]*hostFlow
	// full is the number of opening packets that were not answered for lack of room.
	full int
	// paused says that the host can't reach the store.
	paused bool
	// onAccept, if set, is called with each new flow and the VM that sent it.
	onAccept func(id flowID, from netip.Addr)
}

// hostFlow is the state of a flow at its host.
type hostFlow struct {
	first, next uint32
	echo        uint32
	open        bool
	// opened is when the host got the end of the handshake.
	opened time.Time
	// received is the end of the client's bytes, working the requests that are running.
	received uint32
	working  int
	answer   *packet
}

// newHost starts a host, which reports itself to the store until close.
func newHost(r *record, store *standin.Store, name, service, zone string, address netip.AddrPort) (*host, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(4 << 20)
	h := &host{
		record: r, name: name, id: rand.Uint64N(1<<39) + 1<<39, service: service, zone: zone, address: address,
		slots: make(chan struct{}, hostSlots), socket: socket, store: store, stop: make(chan struct{}), flows: map[flowID]*hostFlow{},
	}
	h.report()
	go h.reportLoop()
	go h.receiveLoop()
	r.notef("host %s i-%010x starts at %v (%s, %s)", name, h.id, address, service, zone)
	return h, nil
}

func (h *host) close() {
	close(h.stop)
	_ = h.socket.Close()
}

// pauseReports sets whether the host can't reach the store.
func (h *host) pauseReports(paused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused = paused
}

// watchFlows sets what is called with each new flow.
func (h *host) watchFlows(onAccept func(id flowID, from netip.Addr)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onAccept = onAccept
}

func (h *host) report() {
	h.sequence++
	raw, err := json.Marshal(map[string]any{
		"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "concurrency": cap(h.slots),
		"state": "ready", "warmupLeftMs": 0, "sequence": h.sequence,
	})
	if err == nil {
		h.store.Write(fmt.Sprintf("servers/i-%010x", h.id), raw)
	}
}

func (h *host) reportLoop() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
			h.mu.Lock()
			paused := h.paused
			h.mu.Unlock()
			if !paused {
				h.report()
			}
		}
	}
}

func (h *host) receiveLoop() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < idBytes {
			continue
		}
		to := binary.BigEndian.Uint64(buffer)
		p, intact, _ := decode(append([]byte(nil), buffer[idBytes:n]...))
		if !intact {
			h.record.breakf("UNASKED: host %s got a packet that its sender didn't write so", h.name)
			continue
		}
		if to == 0 || to == h.id {
			h.handle(&p, from.Addr().Unmap())
		}
	}
}

func (h *host) handle(p *packet, from netip.Addr) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := flowID{client: p.src, route: p.dst}
	f := h.flows[id]
	switch {
	case p.flags&flagSyn != 0:
		h.accept(id, f, p, from)
	case f == nil:
		if p.flags&flagReset == 0 {
			h.record.notef("host %s resets %v, which it does not hold", h.name, id.client)
			h.send(id, &packet{flags: flagReset, seq: p.ack})
		}
	case p.flags&flagReset != 0:
		delete(h.flows, id)
	default:
		h.handleOpen(id, f, p)
	}
}

// accept answers an opening packet, unless the host holds as many flows as it can.
func (h *host) accept(id flowID, f *hostFlow, p *packet, from netip.Addr) {
	known := f != nil
	if !known {
		if len(h.flows) >= maxFlowsOfHost {
			h.full++
			h.record.notef("host %s is full with %d flows and sends nothing to %v (copy %d)", h.name, len(h.flows), id.client, p.ack)
			return
		}
		first := rand.Uint32()
		f = &hostFlow{first: first, next: first + 1, received: p.seq + 1}
		h.flows[id] = f
		if h.onAccept != nil {
			h.onAccept(id, from)
		}
		h.record.notef("host %s accepts %v (copy %d)", h.name, id.client, p.ack)
	}
	if f.open {
		return
	}
	f.echo = p.echo
	h.answerOpening(id, f, p.seq+1)
	if !known {
		go h.repeatOpening(id, f, p.seq+1)
	}
}

func (h *host) answerOpening(id flowID, f *hostFlow, ack uint32) {
	h.send(id, &packet{flags: flagSyn | flagAck, echo: f.echo, seq: f.first, ack: ack})
}

// repeatOpening sends the answer to an opening packet again until the flow is open. The host
// gives the flow up after the last repetition.
func (h *host) repeatOpening(id flowID, f *hostFlow, ack uint32) {
	wait := firstRepeat
	for range maxRepeats {
		time.Sleep(wait)
		wait = min(2*wait, longestRepeat)
		h.mu.Lock()
		waiting := h.flows[id] == f && !f.open
		if waiting {
			h.answerOpening(id, f, ack)
		}
		h.mu.Unlock()
		if !waiting {
			return
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flows[id] == f && !f.open {
		delete(h.flows, id)
	}
}

func (h *host) handleOpen(id flowID, f *hostFlow, p *packet) {
	if !f.open {
		if p.ack != f.first+1 {
			h.record.notef("host %s resets %v: its client acknowledges the opening of another host", h.name, id.client)
			h.send(id, &packet{flags: flagReset, seq: p.ack})
			delete(h.flows, id)
			return
		}
		f.open, f.opened = true, time.Now()
	}
	f.echo = p.echo
	if p.flags&flagFin != 0 {
		h.send(id, &packet{flags: flagAck | flagFin, echo: f.echo, seq: f.next, ack: p.seq + uint32(len(p.data)) + 1})
		delete(h.flows, id)
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.received { // a repetition
		switch {
		case f.answer != nil && f.working == 0:
			h.send(id, f.answer)
		default:
			h.send(id, &packet{flags: flagAck, echo: f.echo, seq: f.next, ack: f.received})
		}
		return
	}
	f.received += uint32(len(p.data))
	f.working++
	attempt, work := parseRequest(p.data)
	go h.work(id, f, attempt, work)
}

// work runs a request once a slot is free and answers it.
func (h *host) work(id flowID, f *hostFlow, attempt string, work time.Duration) {
	ack := time.AfterFunc(delayedAck, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if f.working > 0 {
			h.send(id, &packet{flags: flagAck, echo: f.echo, seq: f.next, ack: f.received})
		}
	})
	h.slots <- struct{}{}
	h.record.notef("host %s runs %s", h.name, attempt)
	time.Sleep(work)
	<-h.slots
	ack.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	f.working--
	body := attempt + " done\n"
	data := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer-Signature: %x\r\n\r\n%s", len(body), h.id, body)
	f.answer = &packet{flags: flagAck, echo: f.echo, seq: f.next, ack: f.received, data: []byte(data)}
	f.next += uint32(len(data))
	if h.flows[id] == f {
		h.send(id, f.answer)
	}
}

// holds reports whether the host has an open flow, and since when.
func (h *host) holds(id flowID) (opened time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[id]
	if f == nil || !f.open {
		return time.Time{}, false
	}
	return f.opened, true
}

func (h *host) count() (flows, full int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.flows), h.full
}

// send sends a packet to the client of a flow.
func (h *host) send(id flowID, p *packet) {
	sent := *p
	sent.src, sent.dst = id.route, id.client
	if h.loss > 0 && rand.Float64() < h.loss {
		h.record.notef("a datagram of host %s to %v is lost (flags %d)", h.name, id.client, p.flags)
		return
	}
	_, _ = h.socket.WriteToUDPAddrPort(sent.encode(), netip.AddrPortFrom(id.client.Addr(), dataPort))
}

// parseRequest returns the attempt of a request and the work that it asks for.
func parseRequest(data []byte) (attempt string, work time.Duration) {
	for _, line := range strings.Split(string(data), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "Attempt-Id":
			attempt = value
		case "Work-Ms":
			if ms, err := strconv.Atoi(value); err == nil {
				work = time.Duration(ms) * time.Millisecond
			}
		}
	}
	return attempt, work
}
