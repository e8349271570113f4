package flow

import (
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// Explanation tells what a VM knows of one flow.
type Explanation struct {
	Flow    baobabstep.FlowKey
	Slot    int
	Holder  baobabstep.VMID
	Second  baobabstep.VMID
	State   State
	Service baobabstep.ServiceID
	Target  baobabstep.TargetID
	Version uint64
	Age     time.Duration
	// Role says what the VM itself is to the flow.
	Role string
	// Copied is set if the other owner is known to have the record.
	Copied     bool
	CallerIdle time.Duration
	TargetIdle time.Duration
}

// Explain tells what the VM knows of a flow as of the last Tick; false if it
// has no record.
func (r *Router) Explain(key baobabstep.FlowKey) (Explanation, bool) {
	snap := r.current.Load()
	if snap.config == nil {
		return Explanation{Flow: key}, false
	}
	t := turn{r: r, snap: snap, tick: r.ticked.Load(), p: &baobabstep.Packet{Flow: key}}
	t.hash = place.Hash(snap.config.FlowSecret, key)
	t.s = r.shard(&t.hash)
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	o := t.owners()
	e := Explanation{Flow: key, Slot: place.Slot(t.hash), Holder: o.Holder, Second: o.Second, Role: "entry"}
	switch r.o.Self {
	case o.Holder:
		e.Role = "holder"
	case o.Second:
		e.Role = "second"
	}
	rec := t.find()
	if rec == nil {
		return e, false
	}
	e.State = rec.state
	e.Service = r.reg.service(rec.service).id
	e.Target = r.reg.target(rec.target).id
	e.Version = uint64(rec.version)
	e.Age = t.age(rec)
	e.Copied = rec.copies == o.Fingerprint()
	e.CallerIdle = time.Duration(since(t.tick, rec.fromCaller)) * tickLength
	e.TargetIdle = time.Duration(since(t.tick, rec.fromTarget)) * tickLength
	return e, true
}
