package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"

	"baobabstep/emulator"
)

// Report is what an experiment found.
type Report struct {
	Name  string      `json:"name"`
	Seeds int         `json:"seeds"`
	Arms  []ArmReport `json:"arms"`
}

// ArmReport is what one arm did over all days.
type ArmReport struct {
	Name string `json:"name"`
	// Worth and so on are means over days; Difference is that of Worth to the
	// first arm, and Interval the half width of its 95 % confidence interval.
	Worth        float64 `json:"worth"`
	Difference   float64 `json:"difference"`
	Interval     float64 `json:"interval"`
	WorstWindow  float64 `json:"worst_window"`
	WorstClass   float64 `json:"worst_class"`
	Bound        float64 `json:"bound"`
	Unevenness   float64 `json:"unevenness"`
	ControlBytes float64 `json:"control_bytes"`
	Processor    float64 `json:"processor"`
	// Shed and Errors are tries of such ends for each request.
	Shed   float64 `json:"shed"`
	Errors float64 `json:"errors"`
	// Lost is the mean worth lost by cause.
	Lost    map[string]float64 `json:"lost"`
	Classes []ClassReport      `json:"classes"`
	// Days are the results by seed.
	Days []*emulator.Result `json:"days"`
}

// ClassReport is one class of requests over all days.
type ClassReport struct {
	Name  string  `json:"name"`
	Worth float64 `json:"worth"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`

	times *hdrhistogram.Histogram
}

func newReport(f *File) *Report {
	r := &Report{Name: f.Name, Seeds: f.Seeds, Arms: make([]ArmReport, len(f.Arms))}
	for i := range f.Arms {
		r.Arms[i] = ArmReport{Name: f.Arms[i].Name, Days: make([]*emulator.Result, f.Seeds)}
	}
	return r
}

func (r *Report) finish() {
	for i := range r.Arms {
		r.Arms[i].finish(&r.Arms[0])
	}
}

// normal95 is the half width of a 95 % interval in standard errors. With 30 days
// and more it is right to 5 %.
const normal95 = 1.96

func (a *ArmReport) finish(first *ArmReport) {
	mean := func(of func(*emulator.Result) float64) float64 {
		sum := 0.0
		for _, day := range a.Days {
			sum += of(day)
		}
		return sum / float64(len(a.Days))
	}
	a.Worth = mean(func(d *emulator.Result) float64 { return d.Worth })
	a.WorstWindow = mean(func(d *emulator.Result) float64 { return d.WorstWindow })
	a.WorstClass = mean(func(d *emulator.Result) float64 { return d.WorstClass })
	a.Bound = mean(func(d *emulator.Result) float64 { return d.Bound })
	a.Unevenness = mean(func(d *emulator.Result) float64 { return d.Unevenness })
	a.ControlBytes = mean(func(d *emulator.Result) float64 { return d.ControlBytes })
	a.Processor = mean(func(d *emulator.Result) float64 { return d.Processor })
	a.Shed = mean(func(d *emulator.Result) float64 { return float64(d.Tries.Shed) / float64(max(1, d.Asked())) })
	a.Errors = mean(func(d *emulator.Result) float64 { return float64(d.Tries.Errors) / float64(max(1, d.Asked())) })
	a.Lost = make(map[string]float64)
	for _, day := range a.Days {
		for cause, lost := range day.Lost {
			a.Lost[cause] += lost / float64(len(a.Days))
		}
	}
	a.compare(first)
	a.sumClasses()
}

// compare works out the mean difference to another arm over the same days.
func (a *ArmReport) compare(first *ArmReport) {
	differences := make([]float64, len(a.Days))
	for i := range a.Days {
		differences[i] = a.Days[i].Worth - first.Days[i].Worth
	}
	a.Difference = stat.Mean(differences, nil)
	if len(differences) > 1 {
		a.Interval = normal95 * stat.StdDev(differences, nil) / math.Sqrt(float64(len(differences)))
	}
}

func (a *ArmReport) sumClasses() {
	for i := range a.Days[0].Classes {
		c := ClassReport{Name: a.Days[0].Classes[i].Name, times: a.Days[0].Classes[i].EmptyTimes()}
		for _, day := range a.Days {
			c.times.Merge(day.Classes[i].Times())
			c.Worth += day.Classes[i].Worth / float64(len(a.Days))
		}
		c.P50MS, c.P99MS = emulator.QuantileMS(c.times, 50), emulator.QuantileMS(c.times, 99)
		a.Classes = append(a.Classes, c)
	}
}

// WriteTable writes the arms side by side.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, %d days\n", r.Name, r.Seeds)
	fmt.Fprintln(t, "arm\tworth\tdifference\tbound\tworst 2 s\tworst class\tshed/request\terrors/request\tunevenness\tcontrol B/s\tcore of a VM")
	for i := range r.Arms {
		a := &r.Arms[i]
		difference := ""
		if i > 0 {
			difference = fmt.Sprintf("%+.4f ± %.4f", a.Difference, a.Interval)
		}
		fmt.Fprintf(t, "%s\t%.4f\t%s\t%.4f\t%.3f\t%.3f\t%.4f\t%.4f\t%.3f\t%.0f\t%.4f\n",
			a.Name, a.Worth, difference, a.Bound, a.WorstWindow, a.WorstClass, a.Shed, a.Errors, a.Unevenness, a.ControlBytes, a.Processor)
	}
	fmt.Fprintln(t, "\narm\tclass\tworth\tp50 ms\tp99 ms")
	for i := range r.Arms {
		for _, c := range r.Arms[i].Classes {
			fmt.Fprintf(t, "%s\t%s\t%.4f\t%.1f\t%.1f\n", r.Arms[i].Name, c.Name, c.Worth, c.P50MS, c.P99MS)
		}
	}
	fmt.Fprintln(t, "\narm\tworth lost to")
	for i := range r.Arms {
		fmt.Fprintf(t, "%s\t%s\n", r.Arms[i].Name, lostText(r.Arms[i].Lost))
	}
	return t.Flush()
}

// lostText names the causes by what was lost to them, the worst first.
func lostText(lost map[string]float64) (text string) {
	var causes []string
	for cause := range lost {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b string) int {
		if lost[a] != lost[b] {
			return int(math.Copysign(1, lost[b]-lost[a]))
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	for i, cause := range causes {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %.4f", cause, lost[cause])
	}
	if text == "" {
		return "nothing"
	}
	return text
}

// WriteJSON writes the whole report.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}
