package config

import "time"

// tokenBucket limits the bytes sent. Its level may become negative: a message is
// sent whole while the level is positive, and deducted afterwards. Rates are in
// bytes per second.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

// refill adds the tokens due and reports whether the level is positive.
func (b *tokenBucket) refill(now time.Time) bool {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.burst, b.tokens+d.Seconds()*b.rate)
		b.refilledAt = now
	}
	return b.tokens > 0
}

func (b *tokenBucket) spend(n int) { b.tokens -= float64(n) }
