package fabric

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const dialTimeout = 2 * time.Second

// link is one relayed TCP connection between two data centres.
type link struct {
	from, to string
	near     net.Conn
	far      net.Conn
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

// relayTCP accepts connections for vm at its relay address.
func (f *Fabric) relayTCP(ctx context.Context, parts *sync.WaitGroup, vm *VM) error {
	listener, err := net.Listen("tcp", vm.RelayPeerAddress.String())
	if err != nil {
		return errors.Wrap(err, "fabric")
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	parts.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			parts.Go(func() { f.relayConn(ctx, vm, near) })
		}
	})
	return nil
}

// relayConn copies both ways until one side ends or the link is cut.
func (f *Fabric) relayConn(ctx context.Context, vm *VM, near net.Conn) {
	defer near.Close()
	from := near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	f.lock.Lock()
	centre := f.centres[from]
	reached := f.reaches(centre, vm.DataCentre)
	f.lock.Unlock()
	if !reached {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", vm.PeerAddress.String())
	if err != nil {
		return
	}
	l := &link{centre, vm.DataCentre, near, far}
	if !f.addLink(l) {
		return
	}
	defer f.removeLink(l)
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	var back sync.WaitGroup
	back.Go(func() { pipe(l, near, far) })
	pipe(l, far, near)
	back.Wait()
}

func pipe(l *link, to, from net.Conn) {
	_, _ = io.Copy(to, from)
	l.close()
}

// addLink closes the link again if it was cut while it was being made.
func (f *Fabric) addLink(l *link) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.reaches(l.from, l.to) {
		l.close()
		return false
	}
	f.links[l] = true
	return true
}

func (f *Fabric) removeLink(l *link) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.links, l)
}
