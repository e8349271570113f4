// Package bound computes an upper bound on the value that any load balancer can achieve for
// a given day of requests.
//
// # The model
//
// A day is a list of spans. In each span, each class of requests arrives at a constant rate,
// and the capacity of a service is the sum over its targets of slots times speed. A request
// occupies one slot of its service for its service time and uses its bytes of the VM links.
// It earns its value if it is answered within its objective, its late value if it is
// answered within its time limit, and nothing otherwise.
//
//	arrival                   service
//	span 1  ------------->    span 1
//	        \------------>    span 2   (requests whose time limit allows it)
//	span 2  ------------->    span 2
//
// A linear program assigns the requests that arrive in each span to the spans that serve
// them. It maximises the total value, subject to the slot capacity of each service and the
// link capacity in each span. With a single span and no link limit, the solution serves
// classes in descending order of value per slot-second until the slots are used up.
//
// # Relaxations
//
// The result is an upper bound because the model relaxes the real problem:
//
//   - requests are divisible, and any slot can serve any request of its service,
//   - all arrivals are known in advance,
//   - network delay, full targets, refusals and retries cost nothing,
//   - a request can be served at any time of the span in which it arrives.
//
// Requests that are not served by the end of the last span earn nothing. If they could be
// served later, append a span with low load.
package bound
