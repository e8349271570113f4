package capacity

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable prints the rows at a size as a Markdown table, with the margin
// against each budget.
func (m *Measured) WriteTable(w io.Writer, s Size) error {
	rows := m.Estimate(s)
	total := Total(rows)
	var b strings.Builder
	fmt.Fprintf(&b, "%.0f VMs, %.0f hosts, %.0f addresses, %.3g flows, %.3g new a second, %.0f data centres in %.0f regions,\n"+
		"%.0f changes, %.0f deaths and %.0f restarts a day. Measured on %s, %s.\n\n",
		s.VMs, s.Hosts, s.Addresses, s.Flows, s.NewFlows, s.DataCentres, s.Regions, s.Changes, s.Deaths, s.Restarts, m.Machine, m.Go)
	b.WriteString("| role | mechanism | state, KB | messages/s | bytes/s | CPU, % of a core | slopes |\n|---|---|---:|---:|---:|---:|---|\n")
	for _, r := range append(rows, total) {
		fmt.Fprintf(&b, "| %s | %s | %.0f | %.2f | %.0f | %.3f | %s |\n",
			r.name(), r.Mechanism, r.StateBytes/1024, r.MessagesPerSecond, r.BytesPerSecond, 100*r.CPU, strings.Join(r.From, ", "))
	}
	b.WriteString("\n| budget of a VM | spent | allowed | margin |\n|---|---:|---:|---:|\n")
	writeMargin(&b, "CPU, % of a core", 100*total.CPU, 100*Control.CPU)
	writeMargin(&b, "memory, MB", total.StateBytes/(1<<20), Control.MemoryBytes/(1<<20))
	writeMargin(&b, "control, KB/s", total.BytesPerSecond/1e3, Control.BytesPerSecond/1e3)
	fmt.Fprintf(&b, "\nCalls of the whole fleet to the platform: %.1f a second.\n", s.PlatformCalls())
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Row) name() string {
	if r.Data {
		return r.Role + " (data path: memory only counts)"
	}
	return r.Role
}

func writeMargin(b *strings.Builder, name string, spent, allowed float64) {
	verdict := fmt.Sprintf("%.1f times", allowed/max(spent, 1e-9))
	if spent > allowed {
		verdict = "DOES NOT FIT"
	}
	fmt.Fprintf(b, "| %s | %.3f | %.3g | %s |\n", name, spent, allowed, verdict)
}

// WriteSlopes prints the slopes as a Markdown table.
func (m *Measured) WriteSlopes(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| slope | driver | sizes | at 0 | per unit | unit | residual |\n|---|---|---|---:|---:|---|---:|\n")
	for _, s := range m.Slopes {
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %s | %.0f %% |\n",
			s.Name, s.Driver, s.sizes(), s.Intercept, s.PerUnit, s.Metric, 100*s.Residual)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (s *Slope) sizes() string {
	if s.Driver == "" {
		return "-"
	}
	var sizes []string
	for _, p := range s.Points {
		sizes = append(sizes, fmt.Sprintf("%.0f", p.Driver))
	}
	return strings.Join(sizes, ", ")
}
