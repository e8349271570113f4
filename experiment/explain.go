package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Explain writes where one day lost worth under one arm: what happened, and for
// each window what was lost, why, and how much of it no decision could have
// saved. Errors: CodeInvalid.
func (f *File) Explain(w io.Writer, arm *Arm, seed uint64) error {
	_, troubles := f.day(seed)
	result, err := f.Play(arm, seed)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s, arm %s, seed %d: worth %.4f, bound %.4f\n\n", f.Name, arm.Name, seed, result.Worth, result.Bound)
	for _, t := range troubles {
		fmt.Fprintf(w, "%6.1f s to %5.1f s  %v, share %.2f, x %.2f\n", t.AtMS.D().Seconds(), (t.AtMS + t.ForMS).D().Seconds(), t.Kind, t.Share, t.X)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nfrom s\tasked\tworth\tbound\tlost to")
	for i := range result.Windows {
		window := &result.Windows[i]
		fmt.Fprintf(table, "%.0f\t%d\t%.3f\t%.3f\t%s\n", window.FromS, window.Asked, window.Worth, window.Bound(), lostText(window.LostParts()))
	}
	fmt.Fprintln(table, "\nclass\tasked\tin aim\tlate\tfailed\tworth\tp50 ms\tp99 ms")
	for i := range result.Classes {
		c := &result.Classes[i]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\n", c.Name, c.Asked, c.InAim, c.Late, c.Failed, c.Worth, c.P50MS, c.P99MS)
	}
	fmt.Fprintf(table, "\ntries\tshed %d, errors %d, resets by VMs %d\n", result.Tries.Shed, result.Tries.Errors, result.Tries.Resets)
	return table.Flush()
}
