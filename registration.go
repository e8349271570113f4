package baobabstep

import (
	"math"
	"time"
	"unicode/utf8"
)

// Limits of a Registration.
const (
	// MaxNameBytes limits the names of services, data centres and releases, so that any
	// registration fits one message between VMs.
	MaxNameBytes = 200
	MaxSlots     = 1_000_000
	MaxWarmup    = 24 * time.Hour
	MaxStartedMS = math.MaxInt64
)

// Check returns an error that names the first value out of range. VMs pass on what they read, and a row
// that another VM refuses makes the whole message unusable, so all of them accept exactly the
// registrations that pass. Errors: CodeMalformed.
func (r *Registration) Check() error {
	fail := func(format string, args ...any) error {
		return Errorf(CodeMalformed, "registration", "target %x: "+format, append([]any{uint64(r.ID)}, args...)...)
	}
	switch {
	case r.ID == 0:
		return fail("got no identifier")
	case !r.Address.IsValid():
		return fail("got address %v, want a valid one", r.Address)
	case r.Slots < 1 || r.Slots > MaxSlots:
		return fail("got %d slots, want 1 to %d", r.Slots, MaxSlots)
	case r.WarmupLeft < 0 || r.WarmupLeft > MaxWarmup:
		return fail("got a warm-up of %v, want 0 to %v", r.WarmupLeft, MaxWarmup)
	case r.StartedMS > MaxStartedMS:
		return fail("got start time %d, want at most %d", r.StartedMS, uint64(MaxStartedMS))
	}
	for _, name := range []string{r.Service, r.DataCentre, r.Release} {
		if len(name) > MaxNameBytes || !utf8.ValidString(name) {
			return fail("got name %.20q of %d bytes, want at most %d in UTF-8", name, len(name), MaxNameBytes)
		}
	}
	return nil
}

// Milliseconds converts a number of milliseconds from outside to a duration. One that is out of
// range becomes the longest or the shortest duration.
func Milliseconds(n int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(max(-limit, min(n, limit))) * time.Millisecond
}
