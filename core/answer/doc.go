// Package answer judges targets by their answers, of which a VM sees only how far
// callers acknowledge them.
//
// # The model
//
// Targets answer callers directly. What comes by a VM is the caller's side: the
// request, and a number that grows with each byte of the answer that arrived. So
// a VM knows how long an answer was and how long it took, not what it said. That
// is enough, because failures differ from what a route usually answers:
//
//	what happens                 what a VM sees
//	an error, "no room"          an answer much shorter than usual
//	a hang, a crash              no answer for many times the usual time
//	a refusal of the flow        nothing after the first segment
//
// [Sizes] learns what is usual on a route over all its targets. [Tally] counts
// the outcomes at one target. [Verdict.Judge] compares a target with the others of its
// service: only one that fails more than they do is failing. Where all change
// alike, the service has changed, or the VM's own link is broken, or more is
// asked than it can do; nobody is put out then.
//
// # What a verdict does
//
// A failing target is not cut off. It counts as busier, by [Verdict.Penalty]
// slots' work, so it gets new flows again once all others are busier than that:
// however wrong a verdict is, the load that it moves is bounded. After a pause it
// is on trial: few flows, of routes whose requests may be repeated. It is
// released if they are answered; if not, the next pause is longer.
//
// # What must hold
//
//   - One caller can convict nobody, whatever it acknowledges: failures count
//     once a caller in callerPause, and take callersNeeded different callers.
//   - A verdict is about a target beside its peers; no size or time is fixed.
//   - A run of a target that ends ends its verdict's evidence, not its record:
//     pauses grow for a target that relapses under its identifier.
//
// The present time is an argument; no goroutine, no I/O.
package answer
