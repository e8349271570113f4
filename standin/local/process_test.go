package local

import (
	"io"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A process that ends by itself is told apart from one that was ended, and one
// that does not listen to SIGTERM is ended all the same.
func TestProcessEnds(t *testing.T) {
	for _, test := range []struct {
		name, script    string
		grace           time.Duration
		inTime, crashes bool
	}{
		{"ends when told", "echo; exec sleep 60", time.Minute, true, false},
		{"does not listen", "trap '' TERM; echo; while :; do sleep 0.1; done", 200 * time.Millisecond, false, false},
		{"crashes", "echo; exit 3", time.Minute, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			read, write := io.Pipe()
			p, err := Start(write, "/bin/sh", "-c", test.script)
			qt.Assert(t, err, qt.IsNil)
			_, err = read.Read(make([]byte, 1)) // the script has begun
			qt.Assert(t, err, qt.IsNil)
			if test.crashes {
				<-p.Done()
			}
			qt.Check(t, p.Crashed(), qt.Equals, test.crashes)
			qt.Check(t, p.End(syscall.SIGTERM, test.grace), qt.Equals, test.inTime)
			qt.Check(t, p.Running(), qt.IsFalse)
			qt.Check(t, p.Err(), qt.IsNotNil)
		})
	}
}

func TestFreeNets(t *testing.T) {
	// A port of this process's own: another run of the test may be under way.
	at := netip.AddrPortFrom(netip.MustParseAddr("127.0.7.1"), uint16(10000+os.Getpid()%20000))
	const first, count = 90, 2
	var nets []int
	for range count {
		taken, holder, err := FreeNet(first, count, 1, at)
		qt.Assert(t, err, qt.IsNil)
		defer holder.Close()
		nets = append(nets, taken)
	}
	qt.Check(t, nets, qt.DeepEquals, []int{91, 90})
	_, _, err := FreeNet(first, count, 1, at)
	qt.Check(t, err, qt.ErrorMatches, `got no free net 127\.90\.0\.0/16 to 127\.91\.0\.0/16, want one: .*`)
}
