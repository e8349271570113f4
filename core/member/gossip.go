package member

import "time"

const (
	// gossipInterval is the time between two rounds while there is news.
	gossipInterval = 200 * time.Millisecond
	// gossipFanout is the number of VMs told in a round.
	gossipFanout = 3
	// gossipRepeats times the number of digits of the data centre's size is
	// the number of messages that carry one piece of news.
	gossipRepeats = 4
	// maxNews bounds the queue of news. When a whole fleet starts at once,
	// pushing everything to everybody costs many times what comparing
	// digests does, and would leave that no budget.
	maxNews = 32
	// entryBytes is a generous size of one entry, for estimates.
	entryBytes = 120
)

// budget is a token bucket of bytes.
type budget struct {
	rate   int // bytes a second; twice as much is the burst
	tokens float64
	at     time.Time
}

// take reports whether n bytes may be sent, and counts them.
func (b *budget) take(now time.Time, n int) bool {
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*float64(b.rate), float64(2*b.rate))
	b.at = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// queueNews puts a record in the queue of news, or back to its full count.
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
	if len(f.news) > maxNews && r != f.me {
		f.news[0].queued = false
		f.news = f.news[1:]
	}
}

// takeNews returns up to n entries to send along. What has to be sent again
// goes to the end of the queue.
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

// gossip pushes news to a few VMs, so that it does not wait for probes.
func (f *Fleet) gossip(out *[]Out) {
	if len(f.news) == 0 || f.now.Before(f.nextGossip) {
		return
	}
	f.nextGossip = f.now.Add(gossipInterval)
	for _, r := range f.pick(f.own, gossipFanout, living) {
		if !f.budget.take(f.now, entryBytes*min(maxGossip, len(f.news))) {
			f.stats.Saved++
			return
		}
		if news := f.takeNews(maxGossip); len(news) > 0 {
			f.send(out, r, message{Kind: kindGossip, News: news})
		}
	}
}
