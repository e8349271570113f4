package bound

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func checkClose(t *testing.T, name string, got, want float64) {
	t.Helper()
	qt.Check(t, math.Abs(got-want) <= 1e-6*max(1, math.Abs(want)), qt.IsTrue, qt.Commentf("%s: got %v, want %v", name, got, want))
}

func solve(t *testing.T, d *Day, order Order) *Plan {
	t.Helper()
	p, err := d.Solve(order)
	qt.Assert(t, err, qt.IsNil)
	return p
}

// classes returns two classes: cheap has the greater value per slot-second, costly is urgent.
func classes() []Class {
	return []Class{
		{Name: "cheap", WorkMS: 10, Value: 1, LateValue: 0.5, ObjectiveMS: 500, LimitMS: 1000},
		{Name: "costly", WorkMS: 40, Value: 2, ObjectiveMS: 500, Urgent: true},
	}
}

// span returns a span of 2 s with a capacity of 3 slots of speed 1, thus 6 slot-seconds.
func span(name string, cheap, costly float64) Span {
	return Span{
		Name: name, Seconds: 2, Offered: map[string]float64{"cheap": cheap, "costly": costly},
		Targets: []TargetGroup{{Count: 2, Slots: 1, Speed: 1}, {Count: 2, Slots: 1, Speed: 0.5}},
	}
}

// 200 cheap requests per second use 4 of the 6 slot-seconds, and the other 2 serve 50 of the
// 200 costly ones. If the urgent class is served first, it uses all 6, for 150 of 200.
func TestSolveSingleSpan(t *testing.T) {
	d := &Day{Classes: classes(), Spans: []Span{span("only", 200, 100)}}
	p := solve(t, d, OrderValue)
	checkClose(t, "cheap", p.Rows[0].InTime, 400)
	checkClose(t, "costly", p.Rows[1].InTime, 50)
	checkClose(t, "value", p.ValueShare(), 500.0/800)
	checkClose(t, "slots used", p.Usage[0].Used, 3)
	p = solve(t, d, OrderUrgent)
	checkClose(t, "cheap", p.Rows[0].InTime, 0)
	checkClose(t, "costly", p.Rows[1].InTime, 150)
	checkClose(t, "value", p.ValueShare(), 300.0/800)
}

// 400 cheap requests per second need 8 slot-seconds where 6 are available. With an objective
// of 500 ms, only requests of the last half second, at most 200 of 800, can be served in time
// in the next span, which has 2 slot-seconds left beside its own 200 requests per second.
func TestSolveCarriesRequestsIntoNextSpan(t *testing.T) {
	d := &Day{Classes: classes(), Spans: []Span{span("peak", 400, 0), span("after", 200, 0)}}
	p := solve(t, d, OrderValue)
	checkClose(t, "in time", p.Rows[0].InTime, 800)
	checkClose(t, "slots used", p.Usage[1].Used, 3)

	d.Classes[0].ObjectiveMS = 100
	p = solve(t, d, OrderValue)
	checkClose(t, "in time", p.Rows[0].InTime, 640)
	checkClose(t, "late", p.Rows[0].Late, 160)
	checkClose(t, "value", p.Rows[0].ValueShare, (640+80)/800.0)

	d.Classes[0].LimitMS = 200
	p = solve(t, d, OrderValue)
	checkClose(t, "in time", p.Rows[0].InTime, 640)
	checkClose(t, "late", p.Rows[0].Late, 40)
}

// Guards against a greedy solution: serving the most valuable class first is not optimal if
// that class can be served later at little loss and the other cannot.
func TestSolveDefersValuableRequests(t *testing.T) {
	d := &Day{
		Classes: []Class{
			{Name: "patient", WorkMS: 10, Value: 10, LateValue: 9, LimitMS: 2000},
			{Name: "hasty", WorkMS: 10, Value: 8},
		},
		Spans: []Span{
			{Name: "peak", Seconds: 1, Offered: map[string]float64{"patient": 100, "hasty": 100}, Targets: []TargetGroup{{Count: 1, Slots: 1, Speed: 1}}},
			{Name: "after", Seconds: 1, Targets: []TargetGroup{{Count: 1, Slots: 1, Speed: 1}}},
		},
	}
	checkClose(t, "value", solve(t, d, OrderValue).EarnedValue, 900+800)
}

// Where links are the bottleneck, the class with the lower value per byte is served last, even
// if it needs fewer slots.
func TestSolveLinkCapacity(t *testing.T) {
	d := &Day{
		Classes: []Class{{Name: "bulk", WorkMS: 5, Value: 1, Bytes: 50_000}, {Name: "small", WorkMS: 30, Value: 1, Bytes: 1000}},
		Spans: []Span{{
			Name: "only", Seconds: 1, Offered: map[string]float64{"bulk": 40, "small": 20},
			Targets: []TargetGroup{{Count: 1, Slots: 1, Speed: 1}}, LinkMbps: 8.16,
		}},
	}
	p := solve(t, d, OrderValue)
	checkClose(t, "bulk", p.Rows[0].InTime, 20)
	checkClose(t, "small", p.Rows[1].InTime, 20)
	checkClose(t, "link", p.Usage[1].Used, 8.16)
}

// Free slots of one service must not serve requests of another.
func TestSolveSeparatesServices(t *testing.T) {
	d := &Day{
		Classes: []Class{{Name: "a", Service: "first", WorkMS: 10, Value: 1}, {Name: "b", Service: "second", WorkMS: 10, Value: 1}},
		Spans: []Span{{
			Name: "only", Seconds: 1, Offered: map[string]float64{"a": 300, "b": 10},
			Targets: []TargetGroup{{Service: "first", Count: 1, Slots: 1, Speed: 1}, {Service: "second", Count: 9, Slots: 1, Speed: 1}},
		}},
	}
	p := solve(t, d, OrderValue)
	checkClose(t, "a", p.Rows[0].InTime, 100)
	checkClose(t, "b", p.Rows[1].InTime, 10)
}

// With a single span and no link limit, the optimum equals that of serving classes in
// descending order of value per slot-second.
func TestSolveSingleSpanMatchesGreedy(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		d := &Day{Spans: []Span{{
			Name: "only", Seconds: 1 + 9*rng.Float64(), Offered: make(map[string]float64),
			Targets: []TargetGroup{{Count: rng.IntN(200), Slots: 2, Speed: 0.25 + rng.Float64()}},
		}}}
		for i := range 1 + rng.IntN(maxClasses) {
			c := Class{Name: string(rune('a' + i)), WorkMS: 1 + 50*rng.Float64(), Value: 0.5 + 2*rng.Float64()}
			d.Classes = append(d.Classes, c)
			d.Spans[0].Offered[c.Name] = 3000 * rng.Float64()
		}
		checkClose(t, "served", solve(t, d, OrderValue).EarnedValue, greedy(d))
	}
}

// greedy returns the value of serving the classes of the first span in descending order of
// value per slot-second.
func greedy(d *Day) (value float64) {
	list := slices.Clone(d.Classes)
	slices.SortFunc(list, func(a, b Class) int { return int(math.Copysign(1, b.Value/b.WorkMS-a.Value/a.WorkMS)) })
	left := d.Spans[0].slots("") * d.Spans[0].Seconds
	for _, c := range list {
		served := min(d.Spans[0].requests(c.Name), left/(c.WorkMS/1000))
		left -= served * c.WorkMS / 1000
		value += served * c.Value
	}
	return value
}

// A day of the maximum size is solved, and the plan exceeds neither the offered requests nor
// the capacity.
func TestSolveMaximumSize(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	d := new(Day)
	for i := range maxClasses {
		d.Classes = append(d.Classes, Class{
			Name: string(rune('a' + i)), WorkMS: 5 + 40*rng.Float64(), Value: 1 + rng.Float64(), LateValue: 0.1,
			ObjectiveMS: 300, LimitMS: 2500, Bytes: 500 + 20_000*rng.Float64(), Urgent: i == 2,
		})
	}
	for i := range maxSpans {
		s := Span{Name: string(rune('A' + i)), Seconds: 1, Offered: make(map[string]float64), LinkMbps: 120, Targets: []TargetGroup{{Count: 20 + rng.IntN(20), Slots: 2, Speed: 1}}}
		for _, c := range d.Classes {
			s.Offered[c.Name] = 600 * rng.Float64()
		}
		d.Spans = append(d.Spans, s)
	}
	for _, order := range []Order{OrderValue, OrderUrgent} {
		p := solve(t, d, order)
		for _, r := range p.Rows {
			qt.Check(t, r.InTime+r.Late <= r.Offered*(1+1e-6), qt.IsTrue, qt.Commentf("%+v", r))
		}
		for _, u := range p.Usage {
			qt.Check(t, u.Used <= u.Capacity*(1+1e-6), qt.IsTrue, qt.Commentf("%+v", u))
		}
	}
}

func TestSolveWithoutRequestsOrTargets(t *testing.T) {
	checkClose(t, "value", solve(t, &Day{Classes: classes(), Spans: []Span{span("only", 0, 0)}}, OrderValue).ValueShare(), 1)
	d := &Day{Classes: classes(), Spans: []Span{span("only", 10, 10)}}
	d.Spans[0].Targets = nil
	checkClose(t, "value", solve(t, d, OrderValue).ValueShare(), 0)
}

// Checks the shipped example against a solution by hand. The peak has 147 slots for 7 s. Urgent
// requests need 85.644 of them, and the other 61.356 serve 14,316.4 ordinary requests at 30 ms
// each. Requests that arrive in the last 0.3 s can be served in time after the peak, where 98.4
// slots are free: 1,329.75 ordinary and 658.8 urgent ones. The slots that the latter free in the
// peak serve 856.44 more ordinary requests. Of the 8,865 ordinary requests that arrive in the
// last 2 s, the other 7,535.25 are served late.
func TestSolveShippedExample(t *testing.T) {
	d, err := Read("../../examples/experiment/bound/peak.json")
	qt.Assert(t, err, qt.IsNil)
	for _, order := range []Order{OrderValue, OrderUrgent} {
		p := solve(t, d, order)
		checkClose(t, "slots", p.Usage[1].Capacity, 147)
		checkClose(t, "slots used", p.Usage[1].Used, 147)
		checkClose(t, "in time", p.Rows[1].InTime, 14316.4+1329.75+856.44)
		checkClose(t, "late", p.Rows[1].Late, 7535.25)
		checkClose(t, "urgent", p.Classes[1].ValueShare, 1)
		checkClose(t, "served", p.EarnedValue, 2*3940+16502.59+753.525+2*(2*1952+15372))
		var out strings.Builder
		qt.Assert(t, p.WriteTable(&out), qt.IsNil)
		qt.Check(t, out.String(), qt.Contains, order.String()+": value 0.")
	}
}

func TestSolveRejectsInvalidDay(t *testing.T) {
	for name, change := range map[string]func(*Day){
		"no class":                 func(d *Day) { d.Classes = nil },
		"no span":                  func(d *Day) { d.Spans = nil },
		"two classes of one name":  func(d *Day) { d.Classes[1].Name = d.Classes[0].Name },
		"two spans of one name":    func(d *Day) { d.Spans = append(d.Spans, d.Spans[0]) },
		"no work":                  func(d *Day) { d.Classes[0].WorkMS = 0 },
		"late is worth more":       func(d *Day) { d.Classes[0].LateValue = 2 },
		"negative bytes":           func(d *Day) { d.Classes[0].Bytes = -1 },
		"limit before objective":   func(d *Day) { d.Classes[0].LimitMS = 400 },
		"no seconds":               func(d *Day) { d.Spans[0].Seconds = 0 },
		"unknown class":            func(d *Day) { d.Spans[0].Offered["other"] = 1 },
		"negative rate":            func(d *Day) { d.Spans[0].Offered["cheap"] = -1 },
		"negative speed":           func(d *Day) { d.Spans[0].Targets[0].Speed = -1 },
		"service without requests": func(d *Day) { d.Spans[0].Targets[0].Service = "other" },
		"too many spans": func(d *Day) {
			for i := range maxSpans {
				d.Spans = append(d.Spans, span(string(rune('a'+i)), 1, 1))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Day{Classes: classes(), Spans: []Span{span("only", 1, 1)}}
			change(d)
			_, err := d.Solve(OrderValue)
			qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeInvalid)
		})
	}
}

func TestReadRejectsInvalidFile(t *testing.T) {
	unknownField := filepath.Join(t.TempDir(), "day.json")
	qt.Assert(t, os.WriteFile(unknownField, []byte(`{"clases": []}`), 0o600), qt.IsNil)
	for _, path := range []string{unknownField, "missing.json"} {
		_, err := Read(path)
		qt.Check(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeInvalid, qt.Commentf("%s", path))
	}
}
