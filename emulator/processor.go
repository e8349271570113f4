package emulator

import "time"

// What a VM's work costs in processor time. The first four are such that a calm
// day takes what was measured: 0.0055 of a core in a fleet of 9 VMs, of which each
// gets 200 packets a second and hears 22 messages, and 0.0093 to 0.0111 in one of
// 195, with 30 packets and 50 messages.
const (
	// segmentWork is one packet of a caller.
	segmentWork = 10 * time.Microsecond
	// hearWork and sendWork are a message of and to another VM.
	hearWork = 90 * time.Microsecond
	sendWork = 40 * time.Microsecond
	// tickWork is what comes every tickInterval.
	tickWork = 200 * time.Microsecond
	// startWork is a process until its sockets are open, 0.106 to 0.118 s on 0.061
	// of a core, and openWork its other parts.
	startWork = 6500 * time.Microsecond
	openWork  = 2 * time.Millisecond
	// emptyWork is the start of a program that does nothing, as measured: no
	// VM serves anything sooner.
	emptyWork = 1500 * time.Microsecond
	// callWork is a call of the store, and registrationWork each registration
	// in its answer: 293 in six pages are known 0.15 s after the sockets are open.
	callWork         = 500 * time.Microsecond
	registrationWork = 8 * time.Microsecond
)

// processor is a VM's share of a core. Its work is done in the order in which it
// came, one piece after the other.
type processor struct {
	share float64
	// freeAt is when all that came so far is done, used the processor time that
	// it took.
	freeAt, used time.Duration
}

// do returns how long after now work that comes now is done.
func (p *processor) do(now, work time.Duration) time.Duration {
	p.used += work
	p.freeAt = max(p.freeAt, now) + p.stretch(work)
	return p.freeAt - now
}

// stretch returns what work takes on an idle processor.
func (p *processor) stretch(work time.Duration) time.Duration {
	return time.Duration(float64(work) / p.share)
}

// restart empties the queue.
func (p *processor) restart(now time.Duration) { p.freeAt = now }
