package member

import "time"

const (
	// gossipInterval is the time between two gossip rounds while news is queued.
	gossipInterval = 200 * time.Millisecond
	// gossipFanout is the number of receivers in a round.
	gossipFanout = 3
	// gossipRepeats times the number of decimal digits of the data centre's size
	// is the number of messages that carry one piece of news.
	gossipRepeats = 4
	// maxQueuedNews bounds the queue of news. When a whole fleet starts at once,
	// pushing all entries to all VMs costs many times more than comparing
	// digests, and would use up the budget for it.
	maxQueuedNews = 32
	// estimatedEntryBytes is an upper estimate of the encoded size of an entry.
	estimatedEntryBytes = 120
)

// budget is a token bucket of bytes.
type budget struct {
	bytesPerSecond int // the burst is twice as much
	tokens         float64
	refilledAt     time.Time
}

// take consumes n bytes of the budget, or returns false if they exceed it.
func (b *budget) take(now time.Time, n int) bool {
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*float64(b.bytesPerSecond), float64(2*b.bytesPerSecond))
	b.refilledAt = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// queueNews queues a record as news and resets the count of its remaining sends.
func (f *Fleet) queueNews(r *record) {
	digits := 0
	for n := len(f.own.records); n > 0; n /= 10 {
		digits++
	}
	r.sendsLeft = gossipRepeats * digits
	if r.queued {
		return
	}
	r.queued = true
	f.news = append(f.news, r)
	if len(f.news) > maxQueuedNews && r != f.self {
		f.news[0].queued = false
		f.news = f.news[1:]
	}
}

// takeNews returns up to n queued entries to send. Entries with remaining sends
// move to the end of the queue.
func (f *Fleet) takeNews(n int) []entry {
	n = min(n, len(f.news))
	if n == 0 {
		return nil
	}
	entries := make([]entry, 0, n)
	taken := f.news[:n]
	rest := append(f.news[:0:0], f.news[n:]...)
	for _, r := range taken {
		entries = append(entries, r.entry())
		r.sendsLeft--
		if r.sendsLeft > 0 {
			rest = append(rest, r)
		} else {
			r.queued = false
		}
	}
	f.news = rest
	return entries
}

// sendGossip pushes news to a few VMs without waiting for the next probe.
func (f *Fleet) sendGossip(out *[]Out) {
	if len(f.news) == 0 || f.now.Before(f.nextGossip) {
		return
	}
	f.nextGossip = f.now.Add(gossipInterval)
	for _, r := range f.pickRandom(f.own, gossipFanout, notDead) {
		if !f.budget.take(f.now, estimatedEntryBytes*min(maxGossip, len(f.news))) {
			f.stats.Saved++
			return
		}
		if news := f.takeNews(maxGossip); len(news) > 0 {
			f.send(out, r, message{Kind: kindGossip, News: news})
		}
	}
}
