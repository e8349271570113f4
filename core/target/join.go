package target

import "time"

// EncodeQuery returns the encoded query for all leaving targets. A joining VM
// sends it to members: gossip goes to members only, in rounds, so without the
// query its first requests could go to targets that have been draining for
// seconds.
func (r *Registry) EncodeQuery() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encode(&gossipMessage{Epoch: r.gossip.epoch, Query: true})
}

// QueryAnsweredAt returns when the last answer to a query arrived; zero
// before the first.
func (r *Registry) QueryAnsweredAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredAt
}

// leavingAnswer encodes the leaving state of every target whose state ever
// changed, up to the size of one message. The rotation of gossip carries the
// rest.
func (r *Registry) leavingAnswer() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	body := gossipMessage{Epoch: r.gossip.epoch, Answer: true}
	left := maxGossipBytes - gossipHeaderBytes
	for _, e := range r.index.Load().list {
		if left < leavingUpdateBytes {
			break
		}
		e.pool.mu.Lock()
		for s := range e.leaving {
			if e.leaving[s].version > 0 {
				left = e.addLeavingUpdate(&body, Source(s), left)
			}
		}
		e.pool.mu.Unlock()
	}
	return r.encode(&body)
}

func (r *Registry) recordAnswer(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = now
}
