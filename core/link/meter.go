// Package link measures the load of a VM's own link.
//
// # The model
//
// A link is a queue in each direction that drains at the link's rate. A VM sees neither
// queue, but can infer both from the bytes that it counts:
//
//	callers -> [queue] -> VM -> [queue] -> targets
//
// A datagram with a queueing delay W on the way in arrives on a link that was busy for at
// least W, so the bytes received in that time equal the link's capacity. On the way out, the
// queue is what was sent and has not drained yet.
//
// While datagrams are queued, callers retransmit segments that were not lost. Conclusions from
// retransmissions are therefore valid only if the VM's link was not congested meanwhile.
package link

import (
	"sync"
	"time"

	"baobabstep"
)

const (
	// bucketWidth is the resolution of the received bytes, and bucketCount the number of
	// buckets in a window. A queueing delay shorter than the window cannot cause a
	// retransmission, as callers retransmit after 200 ms.
	bucketWidth = 10 * time.Millisecond
	bucketCount = 15
	window      = bucketCount * bucketWidth
	// congestedShare is the share of the link's rate from which the link counts as busy.
	// The rest allows for framing and control traffic that the VM does not count.
	congestedShare = 0.85
	// congestedBacklog is the backlog of sent datagrams from which the link counts as
	// congested. A queue that holds 50 ms drops every datagram that exceeds it, including
	// small datagrams of other flows. A burst of 16 segments from one caller on a link of
	// 2 Mbit/s is sufficient to overflow it, without filling a window.
	congestedBacklog = 45 * time.Millisecond
	// maxBacklog bounds the estimated backlog, as a real queue drops the excess.
	maxBacklog = 500 * time.Millisecond
	// DatagramOverhead is the size in bytes of the IP and UDP headers of a datagram.
	DatagramOverhead = 28
)

// Meter measures one link. The zero value is the meter of a link of unknown rate, which is
// never congested.
type Meter struct {
	rate float64

	mu sync.Mutex
	// startedAt is when the first datagram was counted. Buckets are numbered from it, because
	// time differences are not affected by wall-clock steps.
	startedAt time.Time
	// received are the bytes received in each of the last buckets; newest is the number of
	// the latest bucket.
	received [bucketCount]int
	newest   int64
	// backlog is the number of bytes sent that had not drained at sentAt; sent are the bytes
	// sent in each of the last buckets.
	backlog float64
	sentAt  time.Time
	sent    [bucketCount]int
	// congestedUntil is when the link was last congested, or will be by its backlog.
	congestedUntil time.Time
}

var _ baobabstep.LinkMeter = (*Meter)(nil)

// New returns the meter of a link that carries bytesPerSecond in each direction, 0 if that
// is unknown.
func New(bytesPerSecond float64) *Meter { return &Meter{rate: bytesPerSecond} }

// BytesPerSecond implements [baobabstep.LinkMeter].
func (m *Meter) BytesPerSecond() float64 { return m.rate }

// Received counts datagrams with the given total size, headers included.
func (m *Meter) Received(now time.Time, bytes int) {
	if m.rate <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.received[m.newest%bucketCount] += bytes
	if m.share(&m.received) >= congestedShare {
		m.extend(now)
	}
}

// Sent counts datagrams with the given total size, headers included.
func (m *Meter) Sent(now time.Time, bytes int) {
	if m.rate <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.sent[m.newest%bucketCount] += bytes
	m.drain(now)
	m.backlog = min(m.backlog+float64(bytes), m.rate*maxBacklog.Seconds())
	if over := m.backlogTime() - congestedBacklog; over >= 0 {
		m.extend(now.Add(over))
	}
}

// Load implements [baobabstep.LinkMeter].
func (m *Meter) Load(now time.Time) baobabstep.LinkLoad {
	if m.rate <= 0 {
		return baobabstep.LinkLoad{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.drain(now)
	return baobabstep.LinkLoad{Received: m.share(&m.received), Sent: m.share(&m.sent), Backlog: m.backlogTime()}
}

// CongestedSince implements [baobabstep.LinkMeter].
func (m *Meter) CongestedSince(since time.Time) bool {
	if m.rate <= 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.congestedUntil.IsZero() && !m.congestedUntil.Before(since)
}

// CongestedAt returns when the link was last congested, zero if it never was. The time is in
// the future while a backlog drains.
func (m *Meter) CongestedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.congestedUntil
}

func (m *Meter) extend(until time.Time) {
	if until.After(m.congestedUntil) {
		m.congestedUntil = until
	}
}

// advance empties the buckets between the latest one and that of now. It resets the meter
// if now is earlier than the latest bucket by a window or more.
func (m *Meter) advance(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.sentAt = now, now
	}
	number := int64(now.Sub(m.startedAt) / bucketWidth)
	if number <= m.newest-bucketCount {
		m.startedAt, m.sentAt, m.congestedUntil = now, now, time.Time{}
		number, m.newest = 0, -bucketCount
	}
	if number-m.newest >= bucketCount {
		m.received, m.sent = [bucketCount]int{}, [bucketCount]int{}
		m.newest = number
	}
	for m.newest < number {
		m.newest++
		m.received[m.newest%bucketCount], m.sent[m.newest%bucketCount] = 0, 0
	}
}

func (m *Meter) drain(now time.Time) {
	if elapsed := now.Sub(m.sentAt).Seconds(); elapsed > 0 {
		m.backlog = max(0, m.backlog-elapsed*m.rate)
		m.sentAt = now
	}
}

func (m *Meter) backlogTime() time.Duration {
	return time.Duration(m.backlog / m.rate * float64(time.Second))
}

// share returns the bytes of all buckets as a share of what the link carries in a window.
func (m *Meter) share(buckets *[bucketCount]int) float64 {
	sum := 0
	for _, bytes := range buckets {
		sum += bytes
	}
	return float64(sum) / (m.rate * window.Seconds())
}
