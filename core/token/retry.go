package token

import (
	"net/netip"
	"sync"
	"time"
)

// retryWithin is how soon after a first segment another first segment of the same caller
// may be its next try.
const retryWithin = 100 * time.Millisecond

// openingFlows holds the last flow that each caller is opening. A target whose process has
// died may refuse flows at once. The caller receives the refusal directly and retries
// within milliseconds; the VM sees only the next try. Avoiding the same target twice in a
// row does no harm if the two flows are unrelated.
type openingFlows struct {
	mu   sync.Mutex
	last map[netip.Addr]openAttempt
}

type openAttempt struct {
	flow *flow
	at   time.Time
}

func newOpeningFlows() *openingFlows { return &openingFlows{last: make(map[netip.Addr]openAttempt)} }

// add records that a caller opens a flow.
func (o *openingFlows) add(now time.Time, caller netip.Addr, f *flow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last[caller] = openAttempt{flow: f, at: now}
}

// remove forgets a flow that has been accepted.
func (o *openingFlows) remove(caller netip.Addr, f *flow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last[caller].flow == f {
		delete(o.last, caller)
	}
}

// lastTried returns the target that a caller's new flow should not go to, or nil.
func (o *openingFlows) lastTried(now time.Time, caller netip.Addr) *target {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, ok := o.last[caller]
	if !ok || now.Sub(last.at) >= retryWithin {
		return nil
	}
	return last.flow.target
}

// expire drops entries older than the retry window.
func (o *openingFlows) expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for caller, last := range o.last {
		if now.Sub(last.at) >= retryWithin {
			delete(o.last, caller)
		}
	}
}
