package emulator

import "time"

// event is something that happens at a moment.
type event struct {
	at time.Duration
	// number orders events of one moment as they were made.
	number uint64
	do     func()
}

func (e *event) before(o *event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.number < o.number
}

// queue is the events to come, as a binary heap. It is not container/heap: its
// interface boxes each event, a third of the time of a day.
type queue struct {
	events []event
	number uint64
}

func (q *queue) push(at time.Duration, do func()) {
	q.number++
	q.events = append(q.events, event{at: at, number: q.number, do: do})
	i := len(q.events) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.events[i].before(&q.events[parent]) {
			break
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

// pop takes off the next event; the queue must not be empty.
func (q *queue) pop() event {
	next := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	for i := 0; ; {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < last && q.events[child].before(&q.events[least]) {
				least = child
			}
		}
		if least == i {
			return next
		}
		q.events[i], q.events[least] = q.events[least], q.events[i]
		i = least
	}
}
