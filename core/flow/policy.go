package flow

import (
	"time"

	"baobabstep"
)

// Policy routes the packets of flows. Router is the policy for production; the
// others are baselines for comparison.
type Policy interface {
	SetConfig(now time.Time, c *baobabstep.Config)
	SetView(now time.Time, v *baobabstep.View)
	SetPaused(now time.Time, paused bool)
	Handle(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox)
	Tick(now time.Time, out *baobabstep.Outbox)
	Stop(now time.Time, out *baobabstep.Outbox) (remaining int)
	Stats() Stats
	Explain(key baobabstep.FlowKey) (Explanation, bool)
}

var (
	_ Policy = (*Router)(nil)
	_ Policy = (*hashTable)(nil)
	_ Policy = (*slotTable)(nil)
)

// Policy names for NewPolicy.
const (
	PolicyReplicated = "replicated"
	PolicyHashTable  = "hash_table"
	PolicySlotTable  = "slot_table"
)

// NewPolicy returns the policy with the given name; the empty name selects
// PolicyReplicated. Errors have CodeSettings.
func NewPolicy(now time.Time, name string, o Options) (Policy, error) {
	switch name {
	case "", PolicyReplicated:
		return New(now, o), nil
	case PolicyHashTable:
		return newHashTable(), nil
	case PolicySlotTable:
		return newSlotTable(o.Self), nil
	}
	return nil, baobabstep.Errorf(baobabstep.CodeSettings, "flow.policy", "got %q, want %s, %s or %s",
		name, PolicyReplicated, PolicyHashTable, PolicySlotTable)
}
