// Package answer detects failing targets passively, by the acknowledgements that
// callers send for their answers.
//
// # The model
//
// Targets answer callers directly. A VM sees only what the caller sends: the request, and
// acknowledgement numbers that grow with each byte of the answer received. So a VM knows
// the size and the latency of an answer, but not its content. That is enough, because
// failures differ from the usual answers of a route:
//
//	failure                      what a VM sees
//	an error, "no room"          an answer much shorter than usual
//	a hang, a crash              no answer for many times the usual time
//	a refusal of the flow        nothing after the first segment
//
// [SizeHistogram] learns the typical answer size of a route over all its targets.
// [TargetCounter] counts the outcomes at one target. [Health.Update] compares a target
// with the others of its service. Only a target that fails more often than they do is
// failing. If all change alike, the service has changed, the VM's own link is
// broken, or the service is overloaded; no target is marked as failing then.
//
// # Effect of a detection
//
// A failing target remains in load balancing, with additional work of
// [Health.Penalty] slots. It gets new flows again once all other targets have more
// work than that, so that the load which a wrong detection moves is bounded. After
// a pause the target is on trial: it gets a few flows, of routes whose requests may
// be repeated. If they are answered, the target is trusted again; if not, the next
// pause is longer.
//
// # Invariants
//
//   - One caller cannot make a target count as failing, whatever it acknowledges:
//     failures count once per caller in callerInterval, and minFailedCallers
//     different callers are required.
//   - Each target is compared with its peers; no size or time is fixed.
//   - When an incarnation of a target ends, its outcomes are dropped but its
//     [Health] remains: pauses grow for a target that relapses under the same
//     identifier.
//
// The present time is an argument; no goroutine, no I/O.
package answer
