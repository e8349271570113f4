package heartbeat

import (
	"maps"
	"reflect"
	"slices"

	"baobabstep"
)

// NewRoutesChange returns the change from one sorted routing table to another. held
// describes the new one.
func NewRoutesChange(from, to *baobabstep.RoutingTable, fromSum uint64, held VersionInfo) *Change {
	c := &Change{Kind: Routes, BaseChecksum: fromSum, Result: held, IdleTimeout: to.IdleTimeout}
	old := make(map[string]*baobabstep.Rule, len(from.Rules))
	for i := range from.Rules {
		old[from.Rules[i].Name] = &from.Rules[i]
	}
	for i := range to.Rules {
		r := &to.Rules[i]
		if o := old[r.Name]; o == nil || !reflect.DeepEqual(o, r) {
			c.Rules = append(c.Rules, makeRule(r))
		}
		delete(old, r.Name)
	}
	c.RemovedRules = slices.Sorted(maps.Keys(old))
	if !slices.Equal(from.ColdLimits, to.ColdLimits) {
		c.ColdLimitsChanged, c.ColdLimits = true, makeColdLimits(to.ColdLimits)
	}
	return c
}

// ApplyRoutes returns the table that results from applying the change to from. Errors:
// CodeConflict if from is not the base of the change or the checksum of the result
// differs; CodeMalformed.
func (c *Change) ApplyRoutes(from *baobabstep.RoutingTable, fromSum uint64) (*baobabstep.RoutingTable, error) {
	if from == nil || c.BaseChecksum != fromSum {
		return nil, conflict("base checksum mismatch in change of routes")
	}
	if c.IdleTimeout < 0 {
		return nil, negativeIdleTimeout(c.IdleTimeout)
	}
	rules := make(map[string]baobabstep.Rule, len(from.Rules))
	for _, r := range from.Rules {
		rules[r.Name] = r
	}
	for _, name := range c.RemovedRules {
		delete(rules, name)
	}
	for i := range c.Rules {
		r, err := c.Rules[i].rule()
		if err != nil {
			return nil, err
		}
		rules[r.Name] = r
	}
	to := &baobabstep.RoutingTable{Version: c.Result.Number, IdleTimeout: c.IdleTimeout, Rules: slices.Collect(maps.Values(rules))}
	SortRules(to.Rules)
	to.ColdLimits = from.ColdLimits
	if c.ColdLimitsChanged {
		var err error
		if to.ColdLimits, err = coldLimits(c.ColdLimits); err != nil {
			return nil, err
		}
	}
	content, err := EncodeRoutes(to)
	if err != nil || Checksum(content) != c.Result.Checksum {
		return nil, conflict("checksum mismatch after change of routes")
	}
	return to, nil
}

// NewTargetsChange returns a change of registrations. held describes the new ones.
func NewTargetsChange(d Difference, fromSum uint64, held VersionInfo) *Change {
	c := &Change{Kind: Targets, BaseChecksum: fromSum, Result: held, RemovedTargets: d.Removed}
	for i := range d.Put {
		c.Targets = append(c.Targets, makeTarget(&d.Put[i]))
	}
	return c
}

// Difference returns the effect of the change on registrations. They need not be the base of
// the change: applied to those of a later revision it has the same result, if that is later
// still. VMs that read the store at different times make changes that overlap like this. Errors:
// CodeConflict if the checksum of the result differs; CodeMalformed.
func (c *Change) Difference(from *Registrations) (d Difference, err error) {
	d.Removed = c.RemovedTargets
	for i := range c.Targets {
		r, err := c.Targets[i].registration()
		if err != nil {
			return d, err
		}
		d.Put = append(d.Put, r)
	}
	if after, err := from.ChecksumAfter(d); err != nil || after != c.Result.Checksum {
		return d, conflict("checksum mismatch after change of targets")
	}
	return d, nil
}

// LeavingTargets returns the changed registrations of targets that plan to leave. Errors:
// CodeMalformed.
func (c *Change) LeavingTargets() (leaving []baobabstep.Registration, err error) {
	for i := range c.Targets {
		if !c.Targets[i].Draining {
			continue
		}
		r, err := c.Targets[i].registration()
		if err != nil {
			return nil, err
		}
		leaving = append(leaving, r)
	}
	return leaving, nil
}

func conflict(text string) error {
	return baobabstep.Errorf(baobabstep.CodeConflict, "heartbeat.change", "%s", text)
}
