package stream

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptPause is the wait after the process ran out of file descriptors.
const acceptPause = 50 * time.Millisecond

// copyBoth copies both directions until both have ended. An end of one
// direction is passed on as a half-close, so that a caller which has sent its
// whole request still gets its whole answer. It reports false if a direction
// failed: then both ends must see a reset, never a clean end after part of the
// bytes.
func (p *Proxy) copyBoth(caller, target net.Conn) bool {
	results := make(chan error, 2)
	go func() { results <- p.copyOne(target, caller) }()
	go func() { results <- p.copyOne(caller, target) }()
	first := <-results
	if first != nil {
		reset(caller)
		reset(target)
	} else {
		limit := time.Now().Add(p.limits.HalfClosedTimeout)
		setReadDeadline(caller, limit)
		setReadDeadline(target, limit)
	}
	second := <-results
	return first == nil && second == nil
}

// copyOne copies from one end to the other and passes on the end of stream.
func (p *Proxy) copyOne(to, from net.Conn) error {
	buffer := p.buffers.Get().(*[]byte)
	defer p.buffers.Put(buffer)
	for {
		n, readErr := from.Read(*buffer)
		if n > 0 {
			if err := to.SetWriteDeadline(time.Now().Add(p.limits.WriteTimeout)); err != nil {
				return err
			}
			if _, err := to.Write((*buffer)[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return closeWrite(to)
		}
		if readErr != nil {
			return readErr
		}
	}
}

func closeWrite(c net.Conn) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Close()
}

// setReadDeadline ignores the error of a connection that is already closed:
// its reader has ended by then.
func setReadDeadline(c net.Conn, t time.Time) {
	_ = c.SetReadDeadline(t)
}

// reset closes a connection so that the other end sees a reset rather than an
// orderly end, which it could take for the whole of the answer.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

func callerIP(c net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}
