package emulator

import "time"

// links carry packets between places, with delay, loss, doubles and cuts.
type links struct {
	world *World
	o     Links
	// cut are the data centres whose links to others carry nothing; loss and
	// double are the shares of packets that a data centre's links to others
	// lose and carry twice.
	cut          map[int]bool
	loss, double map[int]float64
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
	if l.draw(l.loss, from, to) {
		return 0, false
	}
	return l.o.FarMS.D(), true
}

// draw tells whether chance strikes a packet between two data centres.
func (l *links) draw(shares map[int]float64, from, to int) bool {
	share := max(shares[from], shares[to])
	return share > 0 && l.world.luck.Float64() < share
}

// carry does what the arrival of a packet does: once, twice, or not at all. It
// returns false if the packet is lost.
func (l *links) carry(from, to int, do func()) bool {
	delay, ok := l.between(from, to)
	if !ok {
		return false
	}
	l.world.after(delay, do)
	if from != to && l.draw(l.double, from, to) {
		l.world.after(2*delay, do)
	}
	return true
}

// toCaller returns how long a packet from a data centre to a caller at another
// takes; false if it is lost.
func (l *links) toCaller(from, caller int) (time.Duration, bool) {
	delay, ok := l.between(from, caller)
	return delay + l.o.CallerMS.D(), ok
}
