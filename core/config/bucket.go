package config

import "time"

// bucket is a token bucket of bytes that may go below zero: a message is sent
// whole while the bucket is above zero, and paid for afterwards.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (b *bucket) ready(now time.Time) bool {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.burst, b.tokens+d.Seconds()*b.rate)
		b.at = now
	}
	return b.tokens > 0
}

func (b *bucket) spend(n int) { b.tokens -= float64(n) }
