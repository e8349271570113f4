package pace

import (
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/link"
)

// size returns the size of a datagram on the link in bytes.
func size(d *baobabstep.OutgoingDatagram) int { return len(d.Raw) + link.DatagramOverhead }

func isSmall(d *baobabstep.OutgoingDatagram) bool { return len(d.Raw) <= maxSmallBytes }

// drainTime returns the transmission time of a number of bytes.
func drainTime(bytes int, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// heldDatagram is a datagram that waits in a queue.
type heldDatagram struct {
	datagram baobabstep.OutgoingDatagram
	since    time.Time
}

// datagramQueue holds datagrams in the order of their arrival.
type datagramQueue struct {
	// list holds the datagrams from index next on; those before it were taken.
	list  []heldDatagram
	next  int
	bytes int
}

func (w *datagramQueue) empty() bool { return w.next == len(w.list) }

func (w *datagramQueue) count() int { return len(w.list) - w.next }

// add appends a copy of a datagram.
func (w *datagramQueue) add(now time.Time, d *baobabstep.OutgoingDatagram) {
	if w.next > len(w.list)/2 {
		w.list = slices.Delete(w.list, 0, w.next)
		w.next = 0
	}
	h := heldDatagram{datagram: *d, since: now}
	h.datagram.Raw = slices.Clone(d.Raw)
	w.list = append(w.list, h)
	w.bytes += size(d)
}

// take removes and returns the first datagram.
func (w *datagramQueue) take() heldDatagram {
	h := w.list[w.next]
	w.list[w.next] = heldDatagram{}
	w.next++
	w.bytes -= size(&h.datagram)
	if w.empty() {
		w.list, w.next = w.list[:0], 0
	}
	return h
}

// batch sums up datagrams that are sent together.
type batch struct {
	rate    float64
	backlog time.Duration
	bytes   int
}

func (q *Queue) newBatch(now time.Time) batch {
	return batch{rate: q.meter.BytesPerSecond(), backlog: q.meter.Load(now).Backlog}
}

// add adds a datagram to the sums and returns it.
func (b *batch) add(d *baobabstep.OutgoingDatagram) baobabstep.OutgoingDatagram {
	b.bytes += size(d)
	b.backlog += drainTime(size(d), b.rate)
	return *d
}
