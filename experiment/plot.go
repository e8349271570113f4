package experiment

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"baobabstep/emulator"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot draws the worth of all days, the worth of each window, and the times of
// answers, as SVG files in a folder. Errors: CodeInvalid.
func (r *Report) Plot(folder string) error {
	for _, p := range []struct {
		file, title, x, y string
		line              func(*ArmReport) plotter.XYs
	}{
		{"worth_by_day.svg", "worth of days, the worst first", "part of the days", "worth", (*ArmReport).sortedWorth},
		{"worth_by_window.svg", "mean worth by the time of the day", "s", "worth", (*ArmReport).windowWorth},
		{"times.svg", "times of answers", "ms", "part of the answers", (*ArmReport).times},
	} {
		if err := r.plot(filepath.Join(folder, p.file), r.Name+": "+p.title, p.x, p.y, p.line); err != nil {
			return fail("%s: %w", p.file, err)
		}
	}
	return nil
}

func (r *Report) plot(path, title, x, y string, line func(*ArmReport) plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	p.Legend.Left = true
	for i := range r.Arms {
		drawn, err := plotter.NewLine(line(&r.Arms[i]))
		if err != nil {
			return err
		}
		drawn.Color = plotutil.Color(i)
		drawn.Width = vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(fmt.Sprintf("%s %.4f", r.Arms[i].Name, r.Arms[i].Worth), drawn)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func (a *ArmReport) sortedWorth() plotter.XYs {
	worth := make([]float64, len(a.Days))
	for i, day := range a.Days {
		worth[i] = day.Worth
	}
	slices.Sort(worth)
	points := make(plotter.XYs, len(worth))
	for i := range worth {
		points[i] = plotter.XY{X: float64(i+1) / float64(len(worth)), Y: worth[i]}
	}
	return points
}

func (a *ArmReport) windowWorth() plotter.XYs {
	points := make(plotter.XYs, len(a.Days[0].Windows))
	for i := range points {
		points[i].X = a.Days[0].Windows[i].FromS
		for _, day := range a.Days {
			points[i].Y += day.Windows[i].Worth / float64(len(a.Days))
		}
	}
	return points
}

// times is the distribution of the times of answers of all classes.
func (a *ArmReport) times() plotter.XYs {
	all := a.Days[0].Classes[0].EmptyTimes()
	for _, c := range a.Classes {
		all.Merge(c.times)
	}
	var points plotter.XYs
	for _, b := range all.CumulativeDistribution() {
		ms := emulator.QuantileMS(all, b.Quantile)
		if ms > longestPlotted {
			break
		}
		points = append(points, plotter.XY{X: ms, Y: b.Quantile / 100})
	}
	return points
}

// longestPlotted is the longest time of an answer that is drawn, in ms.
const longestPlotted = 1000
