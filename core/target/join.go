package target

import "time"

// Ask returns the question for all that is leaving. A VM that has not joined
// yet sends it to members: news go to members only, in rounds, so its first
// requests would go to targets that have been draining for seconds.
func (r *Registry) Ask() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encode(&newsBody{Epoch: r.news.epoch, Ask: true})
}

// AnsweredAt is when the last answer to a question came; zero before the first.
func (r *Registry) AnsweredAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredAt
}

// answer tells the state of every target whose leaving ever changed, as far as
// one message holds; what does not fit comes by the rotation of the news.
func (r *Registry) answer() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	body := newsBody{Epoch: r.news.epoch, Answer: true}
	left := maxNewsSize - newsHeader
	for _, e := range r.index.Load().list {
		if left < leaveBytes {
			break
		}
		e.pool.mu.Lock()
		for s := range e.leaving {
			if e.leaving[s].version > 0 {
				left = e.addLeave(&body, Source(s), left)
			}
		}
		e.pool.mu.Unlock()
	}
	return r.encode(&body)
}

func (r *Registry) noteAnswer(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = now
}
