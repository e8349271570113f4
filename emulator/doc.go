// Package emulator plays what a fleet with token routing serves, in virtual time.
//
// # The model
//
// Callers, fabric, targets and links are small models; the decisions between
// them are the fleet's own: each VM is a real [token.Router] and a real
// [heartbeat.PeerTable].
//
//	callers -> fabric -> VM (router, board) -> targets
//	   ^                  ^-- heartbeats --^      |
//	   +------------------------------------------+
//
// A [World] is made of a [Deployment], the troubles of a day and a seed. It keeps
// one queue of events; whatever happens is an event at a moment. No goroutine, no
// socket, no clock of the machine: the same seed gives the same bytes, and a day
// of 34 s of a small fleet takes a fraction of a second. So policies are compared
// on hundreds of days, each pair under the same arrivals, works and troubles.
//
// # What it leaves out
//
// VMs have no memory limit; their processor takes what processor.go says, whatever
// the code costs. The platform's store has no rates; a VM that starts without it
// learns nothing, and one that runs hears of changes as store.go says, not by the
// messages of package entry. Routes never change. A request or an answer is one
// segment, however long, but costs and is acknowledged like the packets that it
// stands for. Links have delay, loss and doubles, no bandwidth.
// docs/design/emulator.md compares it with what was measured.
//
// # What must hold
//
//   - What a caller draws (arrivals, sizes, works) does not depend on decisions,
//     so that two policies face the same day.
//   - A request is counted once, when its caller is done with it.
package emulator
