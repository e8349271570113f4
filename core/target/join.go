package target

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

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

// encode returns nil, and breaks an invariant, for a body that has no encoding.
func (r *Registry) encode(body *newsBody) []byte {
	b, err := cbor.Marshal(body)
	if err != nil {
		r.breaks("news", err.Error())
		return nil
	}
	return b
}

// addLeave adds one source's update, as far as left bytes allow, and returns
// what is left. What the configuration says reaches all VMs with it.
func (e *entry) addLeave(body *newsBody, s Source, left int) int {
	if s == SourceOperator || left < leaveBytes {
		return left
	}
	g := &e.leaving[s]
	body.Leaves = append(body.Leaves, leavingUpdate{Target: e.target.ID, Source: s, Version: g.version, Leaving: g.leaving})
	return left - leaveBytes
}

// Learn takes the news of another VM, which may be late, doubled or out of
// order, and returns the reply to a question, or nil.
func (r *Registry) Learn(now time.Time, from baobabstep.VMID, encoded []byte) ([]byte, error) {
	if len(encoded) > maxNewsSize {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "target.learn", "got %d bytes, want at most %d", len(encoded), maxNewsSize)
	}
	var body newsBody
	if err := cbor.Unmarshal(encoded, &body); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "target.learn", "%w", err)
	}
	if body.Ask {
		return r.answer(), nil
	}
	if !r.newEnough(from, body.Epoch) {
		return nil, nil
	}
	for i := range body.Updates {
		r.learnUpdate(from, &body.Updates[i])
	}
	for i := range body.Leaves {
		r.learnLeaving(&body.Leaves[i])
	}
	if body.Answer {
		r.noteAnswer(now)
	}
	return nil, nil
}
