package report

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"baobabstep"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Names of the files that Plot writes.
const (
	LoadFile      = "load_by_target.svg"
	DecisionsFile = "decisions.svg"
	AgesFile      = "belief_age.svg"
)

// Plot draws the curves into a folder. Errors: CodeInvalid.
func (r *Report) Plot(folder string) error {
	title := "recent requests at targets, all VMs"
	if r.Targets > len(r.Load) {
		title += fmt.Sprintf(" (the busiest %d of %d)", len(r.Load), r.Targets)
	}
	for _, p := range []struct {
		file, title, unit string
		curves            []Curve
	}{
		{LoadFile, title, "requests", r.Load},
		{DecisionsFile, "decisions, lines left out included", "1/s", r.Decisions},
		{AgesFile, "greatest age of what VMs believed", "s", r.Ages},
	} {
		if err := draw(filepath.Join(folder, p.file), p.title, p.unit, p.curves); err != nil {
			return baobabstep.Errorf(baobabstep.CodeInvalid, "report.plot", "%s: %w", p.file, err)
		}
	}
	return nil
}

func draw(path, title, unit string, curves []Curve) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds since the first line"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		line, err := plotter.NewLine(points(c))
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(c.Name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func points(c Curve) plotter.XYs {
	list := make(plotter.XYs, len(c.Points))
	for i, p := range c.Points {
		list[i] = plotter.XY{X: p.At.Seconds(), Y: p.Value}
	}
	return list
}
