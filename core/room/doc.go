// Package room implements admission control for new flows of ordinary requests to a service.
//
// # The model
//
// A target processes a few requests concurrently, one per slot, and queues a few more. It
// rejects any further request immediately with a short answer, and the caller retries on a
// new flow:
//
//	caller -> VM -> [queue] -> slots
//	   ^                 |
//	   +---- rejected ---+   (a new flow, up to the caller's number of tries)
//
// When the offered load exceeds the capacity of the slots, urgent and ordinary requests are
// rejected alike, each rejection costs a target a connection, and the queues of all targets
// are full. A VM cannot reject a request on an open flow, but it can refuse to open one. Each
// rejected request ends its flow, so the open flows are soon mainly those that the VMs have
// admitted.
//
// A [Gate] is the admission state of one service in one VM. It tracks the share of requests
// that targets reject and the latency of the others, and admits a share of new ordinary flows
// such that queues are used but seldom overflow. Urgent flows are always admitted. The
// admitted share is a function of the current rejected share: up to a tolerated rejected
// share all flows are admitted, and beyond it the admitted share falls exponentially. There
// is no integral term: a share that was reduced step by step while rejections lasted became
// far too low in a mild overload, and slots were idle until it had recovered. When
// rejections are rare and the latency is normal, the gate opens.
//
// Failing targets do not close a gate:
//
//   - targets that fail more than their peers are ignored (package answer detects them),
//   - the rejections must come from many targets,
//   - and the latency of the other requests must be elevated: a target that rejects requests
//     because of overload has a full queue.
//
// Each VM has its own gate and uses only its own observations. Refused callers retry through
// other VMs, so the gates of a fleet act together as a single gate with their mean admitted
// share: a VM that starts during an overload admits all flows, since it does not know the
// unloaded latency, and the other VMs compensate.
//
// The current time is an argument. The package starts no goroutines and does no I/O.
package room
