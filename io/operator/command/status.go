package command

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"baobabstep/core/config"
	"baobabstep/io/operator"
)

// Status shows each data centre: VMs, version in force, lag, targets, flows.
type Status struct{}

// Run carries out the command.
func (*Status) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		st, err := s.client.Status(ctx)
		if err != nil {
			return err
		}
		return s.print(st, func(w *tabwriter.Writer) { statusTable(w, &st) })
	})
}

func statusTable(w *tabwriter.Writer, st *operator.Status) {
	r := &st.Replica
	row(w, fmt.Sprintf("seen from VM %s in %s: version %d, in force for %.1f s, platform last heard %s",
		st.Node.VM, st.Node.DataCentre, r.Version, float64(r.InForceMS)/1000, age(r.PlatformAgeMS)))
	row(w, "DATA CENTRE", "VMS", "IN FORCE", "OLDEST", "BEHIND", "HEARD", "TARGETS", "FLOWS")
	for _, d := range centres(st) {
		row(w, d.name, d.vms, d.version, d.oldest, d.behind, d.heard, d.targets, d.flows)
	}
	row(w)
	row(w, "SERVICE", "TARGETS", "FLOWS", "REQUESTS", "IMBALANCE")
	for _, one := range st.Node.Services {
		row(w, one.Service, one.Targets, one.Flows, one.Requests, fmt.Sprintf("%.2f", one.Imbalance))
	}
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s ago", float64(ms)/1000)
}

// centre is one line of the status table.
type centre struct {
	name, vms, version, oldest, behind, heard, targets, flows string
}

// centres joins what the replica and the node know of each data centre.
func centres(st *operator.Status) []centre {
	all := map[string]*centre{}
	get := func(name string) *centre {
		if all[name] == nil {
			all[name] = &centre{name: name, vms: "?", version: "?", oldest: "?", behind: "?", heard: "never", targets: "?", flows: "?"}
		}
		return all[name]
	}
	for i := range st.Replica.DataCentres {
		fillVersion(get(st.Replica.DataCentres[i].DataCentre), &st.Replica.DataCentres[i])
	}
	for _, d := range st.Node.DataCentres {
		line := get(d.DataCentre)
		line.vms, line.targets, line.flows = counts(d.VMs), counts(d.Targets), fmt.Sprint(d.Flows)
	}
	out := make([]centre, 0, len(all))
	for _, line := range all {
		out = append(out, *line)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

func fillVersion(line *centre, s *config.Summary) {
	line.vms = fmt.Sprint(s.VMs)
	line.version = fmt.Sprintf("%d on %d of %d", s.Version, s.Current, s.VMs)
	line.oldest = fmt.Sprint(s.Oldest)
	line.behind = fmt.Sprint(s.Version - s.Oldest)
	line.heard = fmt.Sprintf("%.1f s ago", float64(s.AgeMS)/1000)
}

// counts writes "3 alive, 1 dead".
func counts(m map[string]int) string {
	var parts []string
	for state, n := range m {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, state))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// Explain shows where a flow or request went and why.
type Explain struct {
	Caller  string `arg:"" help:"The caller's address, as 127.0.0.1:50000."`
	Service string `arg:"" help:"The service's address."`
	Number  uint64 `arg:"" help:"The caller's number of the flow or request."`
}

// Run carries out the command.
func (c *Explain) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		e, err := s.client.Explain(ctx, operator.ExplainQuery{Caller: c.Caller, Service: c.Service, Number: c.Number})
		if err != nil {
			return err
		}
		return s.print(e, func(w *tabwriter.Writer) {
			row(w, "flow", e.Flow)
			row(w, "service", e.Service)
			row(w, "target", e.Target)
			row(w, "decided by", e.Holder)
			row(w, "version", e.Version)
			row(w, "state", e.State)
			for _, line := range e.Why {
				row(w, "why", line)
			}
		})
	})
}

// Target holds the commands for targets.
type Target struct {
	Drain   TargetDrain   `cmd:"" help:"Give a target no new work; its flows stay."`
	Undrain TargetUndrain `cmd:"" help:"Let a target have new work again."`
}

// TargetDrain marks a target as drained.
type TargetDrain struct {
	Name string `arg:"" help:"The target."`
	Change
}

// Run carries out the command.
func (c *TargetDrain) Run(g *Globals) error { return drain(g, &c.Change, c.Name, false) }

// TargetUndrain takes the mark away.
type TargetUndrain struct {
	Name string `arg:"" help:"The target."`
	Change
}

// Run carries out the command.
func (c *TargetUndrain) Run(g *Globals) error { return drain(g, &c.Change, c.Name, true) }

func drain(g *Globals, c *Change, target string, undrain bool) error {
	return g.run(func(ctx context.Context, s *session) error {
		q := c.query()
		q.Target, q.Undrain = target, undrain
		return s.carryOut(ctx, c, q)
	})
}

// DataCentre holds the commands for data centres.
type DataCentre struct {
	Evacuate DataCentreEvacuate `cmd:"" help:"Give all targets of a data centre no new work; their flows stay."`
	Restore  DataCentreRestore  `cmd:"" help:"Let the targets of a data centre have new work again."`
}

// DataCentreEvacuate marks all targets of a data centre.
type DataCentreEvacuate struct {
	Name string `arg:"" help:"The data centre."`
	Change
}

// Run carries out the command.
func (c *DataCentreEvacuate) Run(g *Globals) error { return evacuate(g, &c.Change, c.Name, false) }

// DataCentreRestore takes the marks away.
type DataCentreRestore struct {
	Name string `arg:"" help:"The data centre."`
	Change
}

// Run carries out the command.
func (c *DataCentreRestore) Run(g *Globals) error { return evacuate(g, &c.Change, c.Name, true) }

func evacuate(g *Globals, c *Change, dataCentre string, restore bool) error {
	return g.run(func(ctx context.Context, s *session) error {
		q := c.query()
		q.DataCentre, q.Restore = dataCentre, restore
		return s.carryOut(ctx, c, q)
	})
}
