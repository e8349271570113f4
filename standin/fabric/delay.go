package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"baobabstep/io/wire"
)

// delayQueue bounds the datagrams under way; past it a link loses some, as a
// real one does.
const delayQueue = 1 << 14

// delay is a link with one latency. All its datagrams wait equally long, so
// they leave in the order in which they came.
type delay struct {
	latency time.Duration
	queue   chan delayed
	buffers sync.Pool
}

type delayed struct {
	due    time.Time
	socket *net.UDPConn
	to     netip.AddrPort
	buf    *[]byte
}

func newDelay(microseconds int) *delay {
	return &delay{
		latency: time.Duration(microseconds) * time.Microsecond,
		queue:   make(chan delayed, delayQueue),
		buffers: sync.Pool{New: func() any {
			b := make([]byte, 0, wire.MaxDatagram+1)
			return &b
		}},
	}
}

func (d *delay) send(socket *net.UDPConn, to netip.AddrPort, b []byte) {
	if d.latency == 0 {
		_, _ = socket.WriteToUDPAddrPort(b, to)
		return
	}
	buf := d.buffers.Get().(*[]byte)
	*buf = append((*buf)[:0], b...)
	select {
	case d.queue <- delayed{time.Now().Add(d.latency), socket, to, buf}:
	default:
		d.buffers.Put(buf)
	}
}

func (d *delay) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.queue:
			if wait := time.Until(m.due); wait > 0 {
				time.Sleep(wait)
			}
			_, _ = m.socket.WriteToUDPAddrPort(*m.buf, m.to)
			d.buffers.Put(m.buf)
		}
	}
}
