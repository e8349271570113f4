// Package logs writes log lines without ever making the writer wait.
//
// A VM under load decides thousands of times a second, and whoever reads its
// standard output may stand still. So lines of each class are bounded in number,
// and what is to be written waits in a buffer of bounded size; what does not fit
// is dropped and counted by class. Packets never wait for a line.
package logs

import (
	"io"
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// bufferLines bounds the lines that wait to be written: a second of the
	// most that Rate lets through, in a few classes.
	bufferLines = 1024
	// Rate is the number of lines a second of each class. A line costs some
	// 8 us; 100 a second are under 0.1 % of a core.
	Rate = 100
	// Burst is the number of lines of a class that may come at once.
	Burst = 300
	// flushTimeout bounds the wait for a reader that stands still at the end.
	flushTimeout = 200 * time.Millisecond
	// overflow is the class of lines that found the buffer full.
	overflow = "buffer_full"
)

// Writer passes lines on to another writer. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	limits  map[string]*rate.Limiter
	dropped map[string]uint64
	closed  bool
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer whose goroutine writes to w until Close.
func New(w io.Writer) *Writer {
	l := &Writer{
		lines: make(chan []byte, bufferLines), done: make(chan struct{}),
		limits: make(map[string]*rate.Limiter), dropped: make(map[string]uint64),
	}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			_, _ = w.Write(line) // there is nowhere to say that logs cannot be written
		}
	}()
	return l
}

// Write takes one line; it never waits.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, io.ErrClosedPipe
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped[overflow]++
	}
	return len(line), nil
}

// Wanted tells whether one more line of a class may be written now, and counts
// it as dropped if not.
func (l *Writer) Wanted(now time.Time, class string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[class]
	if limit == nil {
		limit = rate.NewLimiter(Rate, Burst)
		l.limits[class] = limit
	}
	if !limit.AllowN(now, 1) {
		l.dropped[class]++
		return false
	}
	return true
}

// Dropped returns the lines dropped since the last call, by class.
func (l *Writer) Dropped() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := maps.Clone(l.dropped)
	clear(l.dropped)
	return dropped
}

// Close waits for the lines to be written, but not long.
func (l *Writer) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}
