package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is what a [link] does to the connections through it.
type linkFault uint8

const (
	linkFine linkFault = iota
	// linkReset closes connections as soon as they are made.
	linkReset
	// linkSilent takes connections and bytes, and passes nothing on.
	linkSilent
	// linkOneWay passes requests on and swallows the answers.
	linkOneWay
	// linkSlow passes each chunk on after linkDelay.
	linkSlow
)

// linkDelay is the delay of linkSlow, each way.
const linkDelay = 120 * time.Millisecond

// link is a proxy between one VM and the store. Open connections go silent with
// it for good, as behind a network that has forgotten them.
type link struct {
	listener net.Listener
	to       string
	done     chan struct{}

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool
}

// newLink starts a proxy to an address.
func newLink(at, to string) (*link, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, to: to, done: make(chan struct{}), conns: map[net.Conn]bool{}}
	go l.run()
	return l, nil
}

// set sets the fault for connections made from now on, and for those that are
// open if it is no longer linkFine. Resetting ends those.
func (l *link) set(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	if fault == linkReset {
		for c := range l.conns {
			c.Close()
		}
	}
}

func (l *link) current() linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func (l *link) close() {
	l.listener.Close()
	l.mu.Lock()
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	<-l.done
}

func (l *link) run() {
	defer close(l.done)
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.current() == linkReset {
			c.Close()
			continue
		}
		go l.serve(c)
	}
}

func (l *link) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
		return
	}
	delete(l.conns, c)
}

func (l *link) serve(from net.Conn) {
	l.track(from, true)
	defer l.track(from, false)
	defer from.Close()
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	l.track(to, true)
	defer l.track(to, false)
	defer to.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		l.copy(to, from, linkSilent)
		cancel()
	}()
	go func() {
		l.copy(from, to, linkSilent, linkOneWay)
		cancel()
	}()
	<-ctx.Done()
}

// copy passes bytes on; under one of the swallowing faults the connection never
// passes anything again.
func (l *link) copy(to io.Writer, from io.Reader, swallowing ...linkFault) {
	buffer := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		fault := l.current()
		for _, f := range swallowing {
			silent = silent || fault == f
		}
		if fault == linkSlow {
			time.Sleep(linkDelay)
		}
		if !silent && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
