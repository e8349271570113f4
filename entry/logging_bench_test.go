package entry

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/io/logs"
	"baobabstep/io/packet"
	"baobabstep/platform"
)

// Flows of the benchmark: one opens each flowInterval and sends five requests and their
// acknowledgements.
const (
	flowInterval = time.Millisecond
	dataSegments = 10
	benchTargets = 20
)

var (
	benchService = netip.MustParseAddrPort("198.18.0.1:443")
	benchEpoch   = time.Unix(1_800_000_000, 0)
)

// BenchmarkLines forwards 1,000 new flows a second of simulated time over real sockets,
// alternately with and without log lines. log_share_% is the share of the process's time that
// log lines cost, including writing them to a pipe.
func BenchmarkLines(b *testing.B) {
	writeTime := new(atomic.Int64)
	lines := logs.New(pipe(b, writeTime))
	with := newForwarder(b, lines, &log.Logger{Handler: jsonlog.New(lines), Level: log.InfoLevel})
	without := newForwarder(b, dropAllLines{}, &log.Logger{Handler: jsonlog.New(lines), Level: log.ErrorLevel})
	var took, baseTime time.Duration
	for n := range b.N {
		now := benchEpoch.Add(time.Duration(n) * flowInterval)
		// The order alternates, since the second one runs with warm caches.
		if n%2 == 0 {
			took += with.flow(b, now, n)
		}
		baseTime += without.flow(b, now, n)
		if n%2 == 1 {
			took += with.flow(b, now, n)
		}
	}
	b.StopTimer()
	lines.Close()
	took += time.Duration(writeTime.Load())
	b.ReportMetric(float64(took)/float64(b.N), "ns/flow")
	b.ReportMetric(100*float64(took-baseTime)/float64(took), "log_share_%")
	b.ReportMetric(0, "ns/op")
}

// timedWriter adds up the time that writes take.
type timedWriter struct {
	to        *os.File
	writeTime *atomic.Int64
}

func (w timedWriter) Write(p []byte) (int, error) {
	began := time.Now()
	n, err := w.to.Write(p)
	w.writeTime.Add(int64(time.Since(began)))
	return n, err
}

// pipe returns a writer to a pipe that a goroutine drains.
func pipe(b *testing.B, writeTime *atomic.Int64) timedWriter {
	b.Helper()
	r, w, err := os.Pipe()
	qt.Assert(b, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for buf := make([]byte, 1<<16); ; {
			if _, err := r.Read(buf); err != nil {
				return
			}
		}
	}()
	b.Cleanup(func() {
		_ = w.Close()
		<-done
		_ = r.Close()
	})
	return timedWriter{to: w, writeTime: writeTime}
}

// forwarder is a VM's data path, run one segment at a time.
type forwarder struct {
	node   *Node
	conn   *packet.SegmentConn
	client *net.UDPConn
	out    []baobabstep.OutgoingDatagram
	batch  []baobabstep.Segment
}

func newForwarder(b *testing.B, limits LogLimiter, logger *log.Logger) *forwarder {
	b.Helper()
	n := newTestNode(new(countingMessages), logger, limits)
	n.router.SetTable(benchEpoch, testTable())
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = sink.Close() })
	var list []baobabstep.Registration
	for i := range benchTargets {
		list = append(list, baobabstep.Registration{
			ID: baobabstep.TargetID(i + 1), Service: "fixtures", Address: sink.LocalAddr().(*net.UDPAddr).AddrPort(), DataCentre: "dc-0",
		})
	}
	n.router.SetRegistrations(benchEpoch, list)
	conns, err := packet.NewSegments(packet.SocketOptions{Listen: netip.MustParseAddrPort("127.0.0.1:0")}, platform.DatagramCodec{CallerPort: 1})
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = conns[0].Close() })
	client, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(conns[0].Address()))
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = client.Close() })
	return &forwarder{node: n, conn: conns[0], client: client, batch: make([]baobabstep.Segment, batchSize)}
}

// flow forwards one flow and returns the time that forwarding took.
func (f *forwarder) flow(b *testing.B, now time.Time, n int) (took time.Duration) {
	const syn, ack, fin = 2 << 4, 1, 2
	token := uint32(0)
	for i := range dataSegments + 2 {
		flags := byte(ack)
		switch i {
		case 0:
			flags = syn
		case dataSegments + 1:
			flags = ack | fin
		}
		_, err := f.client.Write(segment(flags, token, n, uint32(i), uint32(i/2)))
		qt.Assert(b, err, qt.IsNil)
		began := time.Now()
		err = f.forward(b.Context(), now)
		took += time.Since(began)
		qt.Assert(b, err, qt.IsNil)
		token = f.out[0].Token
	}
	if n%100 == 0 {
		f.node.router.Tick(now, new([]baobabstep.OutgoingDatagram))
	}
	return took
}

// forward runs one iteration of a forwarding goroutine.
func (f *forwarder) forward(ctx context.Context, now time.Time) error {
	count, err := f.conn.Receive(ctx, f.batch)
	if err != nil {
		return err
	}
	f.out = f.out[:0]
	for i := range f.batch[:count] {
		f.node.router.Handle(now, &f.batch[i], &f.out)
	}
	return f.conn.Send(f.out)
}

// segment returns a caller's datagram of the n-th flow.
func segment(flags byte, token uint32, n int, seq, acked uint32) []byte {
	d := make([]byte, 31)
	d[2] = flags
	binary.BigEndian.PutUint32(d[3:], token)
	binary.BigEndian.PutUint32(d[7:], 10<<24|uint32(n>>14))
	copy(d[11:], benchService.Addr().AsSlice())
	binary.BigEndian.PutUint16(d[15:], benchService.Port())
	binary.BigEndian.PutUint16(d[17:], uint16(n&0x3fff)+1024)
	binary.BigEndian.PutUint32(d[19:], seq)
	binary.BigEndian.PutUint32(d[23:], acked)
	return d
}
