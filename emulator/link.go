package emulator

import "time"

// links carry packets between places, with delay, loss and cuts.
type links struct {
	world *World
	o     Links
	// cut are the data centres whose links to others carry nothing, loss the
	// share of packets that a data centre's links to others lose.
	cut  map[int]bool
	loss map[int]float64
}

// between returns how long a packet between two data centres takes; false if it
// is lost.
func (l *links) between(from, to int) (time.Duration, bool) {
	if from == to {
		return l.o.NearMS.D(), true
	}
	if l.cut[from] || l.cut[to] {
		return 0, false
	}
	if lost := max(l.loss[from], l.loss[to]); lost > 0 && l.world.luck.Float64() < lost {
		return 0, false
	}
	return l.o.FarMS.D(), true
}

// toCaller returns how long a packet from a data centre to a caller at another
// takes; false if it is lost.
func (l *links) toCaller(from, caller int) (time.Duration, bool) {
	delay, ok := l.between(from, caller)
	return delay + l.o.CallerMS.D(), ok
}
