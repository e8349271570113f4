package quota

import "time"

// Meter tracks how much of its share one VM has used. The zero value is ready to
// use.
type Meter struct {
	// used holds the times of the last uses, latest first.
	used []time.Time
}

// Allows reports whether one more use stays within the share.
func (m *Meter) Allows(now time.Time, s Share) bool {
	switch {
	case s.Count < 1:
		return false
	case len(m.used) < s.Count:
		return true
	}
	return now.Sub(m.used[s.Count-1]) >= s.Interval
}

// Record adds one use, whether it was allowed or not.
func (m *Meter) Record(now time.Time, s Share) {
	keep := min(len(m.used), max(0, s.Count-1))
	m.used = append([]time.Time{now}, m.used[:keep]...)
}
