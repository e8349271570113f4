// Package bound computes the most that the callers of a day can get, whatever a load
// balancer decides.
//
// # The model
//
// A day is a list of spans. In each span callers offer requests of some classes at a
// constant rate, and services have slots: targets times slots each times their speed. A
// request takes the time of its work from one slot of its service, and its bytes from the
// links of the VMs. It earns its value if it is answered within its objective, its late
// value within its time limit, and nothing otherwise.
//
//	requests offered          slots and links
//	span 1  ------------->    span 1
//	        \------------>    span 2   (the part that can wait so long)
//	span 2  ------------->    span 2
//
// Which part of the requests of which span is answered in which span is a linear program:
// the value is maximised, the slots of each service and the bytes of the links are limited
// in each span. With one span and slots only, its solution serves the classes in the order
// of value by slot-second until the slots are used up.
//
// # What makes it a bound
//
// Requests are divisible, any slot can serve any request of its service, and the whole day
// is known in advance: no slot waits for a request that is on its way, no caller is sent to
// a full target, and refusals and further tries cost nothing. A request that arrives
// anywhere in a span can be served anywhere in it. So a real fleet gets less; a day's
// result that comes near the bound leaves little for better decisions. What the last span
// leaves unserved is lost: append a calm span if callers can wait for one.
package bound
