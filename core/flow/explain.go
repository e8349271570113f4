package flow

import (
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// Explanation describes a flow as one VM knows it.
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
	// Role is the VM's role for the flow: holder, second or entry.
	Role string
	// Copied is set if the other owner is known to have the record.
	Copied     bool
	CallerIdle time.Duration
	TargetIdle time.Duration
}

// Explain describes a flow as of the last Tick. It returns false if the VM has
// no record.
func (r *Router) Explain(key baobabstep.FlowKey) (Explanation, bool) {
	snap := r.current.Load()
	if snap.config == nil {
		return Explanation{Flow: key}, false
	}
	t := task{r: r, snap: snap, tick: r.lastTick.Load(), p: &baobabstep.Packet{Flow: key}}
	t.hash = place.Hash(snap.config.FlowSecret, key)
	t.s = r.shard(&t.hash)
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	o := t.owners()
	e := Explanation{Flow: key, Slot: place.Slot(t.hash), Holder: o.Holder, Second: o.Second, Role: "entry"}
	switch r.opts.Self {
	case o.Holder:
		e.Role = "holder"
	case o.Second:
		e.Role = "second"
	}
	rec := t.findRecord()
	if rec == nil {
		return e, false
	}
	e.State = rec.state
	e.Service = r.reg.service(rec.service).id
	e.Target = r.reg.target(rec.target).id
	e.Version = uint64(rec.version)
	e.Age = t.age(rec)
	e.Copied = rec.copyFingerprint == o.Fingerprint()
	e.CallerIdle = time.Duration(since(t.tick, rec.lastFromCaller)) * tickLength
	e.TargetIdle = time.Duration(since(t.tick, rec.lastFromTarget)) * tickLength
	return e, true
}
