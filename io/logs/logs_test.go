package logs

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stuck is a reader that stands still.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	l := New(&out)
	for _, line := range []string{"one\n", "two\n"} {
		_, err := l.Write([]byte(line))
		qt.Assert(t, err, qt.IsNil)
	}
	l.Close()
	qt.Assert(t, out.String(), qt.Equals, "one\ntwo\n")
	_, err := l.Write([]byte("late\n"))
	qt.Assert(t, err, qt.IsNotNil)
}

// The reader of standard output stands still. Writers must go on at once, and
// the lines that are lost are counted.
func TestStuckReaderStopsNobody(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	l := New(s)
	for range 3 * bufferLines {
		_, err := l.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	dropped := l.Dropped()[overflow]
	qt.Assert(t, dropped >= 2*bufferLines-1 && dropped <= 2*bufferLines, qt.IsTrue, qt.Commentf("%d", dropped))
	qt.Assert(t, l.Dropped(), qt.HasLen, 0)
	l.Close()
	close(s.release)
}

func TestClassesAreBounded(t *testing.T) {
	l := New(&bytes.Buffer{})
	defer l.Close()
	now := time.Unix(1_800_000_000, 0)
	wanted := func(at time.Time, class string) (n int) {
		for range 1000 {
			if l.Wanted(at, class) {
				n++
			}
		}
		return n
	}
	qt.Assert(t, wanted(now, "flow_placed"), qt.Equals, Burst)
	qt.Assert(t, l.Wanted(now, "flow_ended"), qt.IsTrue)
	qt.Assert(t, wanted(now.Add(time.Second), "flow_placed"), qt.Equals, Rate)
	qt.Assert(t, l.Dropped(), qt.DeepEquals, map[string]uint64{"flow_placed": 2000 - Burst - Rate})
}

func BenchmarkWanted(b *testing.B) {
	l := New(&bytes.Buffer{})
	defer l.Close()
	now := time.Unix(1_800_000_000, 0)
	for b.Loop() {
		l.Wanted(now, "flow_placed")
	}
}
