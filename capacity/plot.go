package capacity

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"baobabstep"
)

// Size of a plot.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot draws each slope with a driver as NAME.svg into a folder.
func (m *Measured) Plot(folder string) error {
	for _, s := range m.Slopes {
		if s.Driver == "" {
			continue
		}
		if err := s.plot(filepath.Join(folder, s.Name+".svg")); err != nil {
			return baobabstep.Errorf(baobabstep.CodeInvalid, "capacity.plot", "%s: %w", s.Name, err)
		}
	}
	return nil
}

func (s *Slope) plot(path string) error {
	points := make(plotter.XYs, len(s.Points))
	for i, p := range s.Points {
		points[i] = plotter.XY{X: p.Driver, Y: p.Value}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(s.At)
	last := points[len(points)-1].X
	line.XMin, line.XMax = 0, last

	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, residual %.0f %%", s.Name, 100*s.Residual)
	p.X.Label.Text = s.Driver
	p.Y.Label.Text = s.Metric
	p.X.Min, p.Y.Min = 0, 0
	p.Add(plotter.NewGrid(), scatter, line)
	return p.Save(plotWidth, plotHeight, path)
}
