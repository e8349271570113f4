package quota

import "time"

// Meter remembers what one VM used of its share. The zero value is ready.
type Meter struct {
	// used are the times of the last uses, the latest first.
	used []time.Time
}

// Allows tells whether one more use stays within the share.
func (m *Meter) Allows(now time.Time, s Share) bool {
	switch {
	case s.Count < 1:
		return false
	case len(m.used) < s.Count:
		return true
	}
	return now.Sub(m.used[s.Count-1]) >= s.Every
}

// Use notes one use, allowed or not.
func (m *Meter) Use(now time.Time, s Share) {
	keep := min(len(m.used), max(0, s.Count-1))
	m.used = append([]time.Time{now}, m.used[:keep]...)
}
