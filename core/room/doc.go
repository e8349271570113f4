// Package room decides how many new flows of ordinary requests a service has room for.
//
// # The model
//
// A target works on a few requests at a time and queues a few more. What comes beyond that
// it rejects at once with a short answer, and the caller tries again on a new flow:
//
//	caller -> VM -> [queue] -> slots
//	   ^                 |
//	   +---- rejected ---+   (a new flow, up to the caller's number of tries)
//
// When more work is offered than the slots can do, a rejection hits urgent and ordinary
// requests alike, each costs a target a connection, and the queues of all targets are full.
// A VM cannot reject a request on an open flow, but it can refuse to open one. Each
// rejected request ends its flow, so the flows that remain are soon those that the VMs
// admit.
//
// A [Gate] is the state of one service in one VM. It watches the share of requests that
// targets reject and the latency of the others, and admits such a share of new ordinary
// flows that queues are used but seldom overflow. Urgent flows are always admitted. The
// share follows the rejected share: a few rejections are harmless, beyond them the admitted
// share falls exponentially. There is no integral of the past in it: a share that fell step
// by step while rejections lasted went far too low in a mild overload, and slots were idle
// until it had risen again. When rejections are rare and the latency is normal, the gate
// opens.
//
// A gate does not close on account of failing targets:
//
//   - targets that fail more than their peers do not count (package answer finds them),
//   - the rejections must come from many targets,
//   - and the other requests must take longer than usual: a target that rejects what it
//     has no room for has a full queue.
//
// Each VM has its own gate and uses only what it saw itself. Refused callers try again
// through other VMs, so the gates of a fleet act together as one with their mean share: a
// VM that has started in a peak admits all flows, since it does not know the usual latency,
// and the others make up for it.
//
// The present time is an argument; no goroutine, no I/O.
package room
