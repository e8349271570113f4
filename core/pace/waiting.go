package pace

import (
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/link"
)

// size returns what a datagram takes of the link, in bytes.
func size(d *baobabstep.OutgoingDatagram) int { return len(d.Raw) + link.DatagramOverhead }

func isSmall(d *baobabstep.OutgoingDatagram) bool { return len(d.Raw) <= maxSmall }

// drainTime returns the time that the link takes for a number of bytes.
func drainTime(bytes int, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// held is a datagram that waits.
type held struct {
	datagram baobabstep.OutgoingDatagram
	since    time.Time
}

// waiting holds datagrams in the order of their arrival.
type waiting struct {
	// list from next on are the datagrams; those before were taken.
	list  []held
	next  int
	bytes int
}

func (w *waiting) empty() bool { return w.next == len(w.list) }

func (w *waiting) count() int { return len(w.list) - w.next }

// add appends a copy of a datagram.
func (w *waiting) add(now time.Time, d *baobabstep.OutgoingDatagram) {
	if w.next > len(w.list)/2 {
		w.list = slices.Delete(w.list, 0, w.next)
		w.next = 0
	}
	h := held{datagram: *d, since: now}
	h.datagram.Raw = slices.Clone(d.Raw)
	w.list = append(w.list, h)
	w.bytes += size(d)
}

// take removes and returns the first datagram.
func (w *waiting) take() held {
	h := w.list[w.next]
	w.list[w.next] = held{}
	w.next++
	w.bytes -= size(&h.datagram)
	if w.empty() {
		w.list, w.next = w.list[:0], 0
	}
	return h
}

// batch counts datagrams that are sent at the same time.
type batch struct {
	rate    float64
	backlog time.Duration
	bytes   int
}

func (q *Queue) newBatch(now time.Time) batch {
	return batch{rate: q.meter.BytesPerSecond(), backlog: q.meter.Load(now).Backlog}
}

// add counts a datagram and returns it.
func (b *batch) add(d *baobabstep.OutgoingDatagram) baobabstep.OutgoingDatagram {
	b.bytes += size(d)
	b.backlog += drainTime(size(d), b.rate)
	return *d
}
