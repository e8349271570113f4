package token

import (
	"net/netip"
	"sync"
	"time"
)

// retryWithin is how soon after a first segment another one of the same caller
// may be its next try.
const retryWithin = 100 * time.Millisecond

// openings remembers the last flow that each caller is opening. A target whose
// process has died may refuse flows at once, and the caller, who hears it
// directly, tries again within milliseconds; the VM sees the next try only. Not
// to choose the same target twice in a row costs nothing where the two flows
// have nothing to do with each other.
type openings struct {
	mu   sync.Mutex
	last map[netip.Addr]opening
}

type opening struct {
	flow *flow
	at   time.Time
}

func newOpenings() *openings { return &openings{last: make(map[netip.Addr]opening)} }

// begin notes that a caller opens a flow.
func (o *openings) begin(now time.Time, caller netip.Addr, f *flow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last[caller] = opening{flow: f, at: now}
}

// done notes that a flow is open.
func (o *openings) done(caller netip.Addr, f *flow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last[caller].flow == f {
		delete(o.last, caller)
	}
}

// tried returns the target that a caller's new flow should not go to, or nil.
func (o *openings) tried(now time.Time, caller netip.Addr) *target {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, ok := o.last[caller]
	if !ok || now.Sub(last.at) >= retryWithin {
		return nil
	}
	return last.flow.target
}

// expire forgets what is too old to matter.
func (o *openings) expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for caller, last := range o.last {
		if now.Sub(last.at) >= retryWithin {
			delete(o.last, caller)
		}
	}
}
