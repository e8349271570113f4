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

func near(t *testing.T, name string, got, want float64) {
	t.Helper()
	qt.Check(t, math.Abs(got-want) <= 1e-6*max(1, math.Abs(want)), qt.IsTrue, qt.Commentf("%s: got %v, want %v", name, got, want))
}

func solve(t *testing.T, d *Day, order Order) *Plan {
	t.Helper()
	p, err := d.Solve(order)
	qt.Assert(t, err, qt.IsNil)
	return p
}

// classes returns two classes: cheap has the greater value by slot-second, costly is urgent.
func classes() []Class {
	return []Class{
		{Name: "cheap", WorkMS: 10, Value: 1, LateValue: 0.5, ObjectiveMS: 500, LimitMS: 1000},
		{Name: "costly", WorkMS: 40, Value: 2, ObjectiveMS: 500, Urgent: true},
	}
}

// span returns a span of 2 s and 3 slots of speed 1: 6 slot-seconds.
func span(name string, cheap, costly float64) Span {
	return Span{
		Name: name, Seconds: 2, Offered: map[string]float64{"cheap": cheap, "costly": costly},
		Targets: []Targets{{Count: 2, Slots: 1, Speed: 1}, {Count: 2, Slots: 1, Speed: 0.5}},
	}
}

// 200 cheap requests a second take 4 of the 6 slot-seconds, so the other 2 serve 50 of the
// 200 costly ones. With the urgent class first it takes all: 150 of 200.
func TestOneSpan(t *testing.T) {
	d := &Day{Classes: classes(), Spans: []Span{span("only", 200, 100)}}
	p := solve(t, d, OrderValue)
	near(t, "cheap", p.Rows[0].InTime, 400)
	near(t, "costly", p.Rows[1].InTime, 50)
	near(t, "value", p.Value(), 500.0/800)
	near(t, "slots used", p.Uses[0].Used, 3)
	p = solve(t, d, OrderUrgent)
	near(t, "cheap", p.Rows[0].InTime, 0)
	near(t, "costly", p.Rows[1].InTime, 150)
	near(t, "value", p.Value(), 300.0/800)
}

// 400 cheap requests a second need 8 of 6 slot-seconds. Of the 200 left over, those that
// wait for the next span arrived in the last half second, at most 200 of 800, to be in time.
// The next span has 2 slot-seconds beside its own 200 requests a second.
func TestRequestsWaitForTheNextSpan(t *testing.T) {
	d := &Day{Classes: classes(), Spans: []Span{span("peak", 400, 0), span("after", 200, 0)}}
	p := solve(t, d, OrderValue)
	near(t, "in time", p.Rows[0].InTime, 800)
	near(t, "slots used", p.Uses[1].Used, 3)

	d.Classes[0].ObjectiveMS = 100
	p = solve(t, d, OrderValue)
	near(t, "in time", p.Rows[0].InTime, 640)
	near(t, "late", p.Rows[0].Late, 160)
	near(t, "value", p.Rows[0].Value, (640+80)/800.0)

	d.Classes[0].LimitMS = 200
	p = solve(t, d, OrderValue)
	near(t, "in time", p.Rows[0].InTime, 640)
	near(t, "late", p.Rows[0].Late, 40)
}

// Serving the most valuable requests at once is not the best: "patient" requests can wait
// for the empty span after the peak at little loss, and "hasty" ones cannot.
func TestTheFutureIsKnown(t *testing.T) {
	d := &Day{
		Classes: []Class{
			{Name: "patient", WorkMS: 10, Value: 10, LateValue: 9, LimitMS: 2000},
			{Name: "hasty", WorkMS: 10, Value: 8},
		},
		Spans: []Span{
			{Name: "peak", Seconds: 1, Offered: map[string]float64{"patient": 100, "hasty": 100}, Targets: []Targets{{Count: 1, Slots: 1, Speed: 1}}},
			{Name: "after", Seconds: 1, Targets: []Targets{{Count: 1, Slots: 1, Speed: 1}}},
		},
	}
	near(t, "value", solve(t, d, OrderValue).Served, 900+800)
}

// A class that brings little value for its bytes gives way where links are the limit, though
// it needs fewer slots.
func TestLinks(t *testing.T) {
	d := &Day{
		Classes: []Class{{Name: "bulk", WorkMS: 5, Value: 1, Bytes: 50_000}, {Name: "small", WorkMS: 30, Value: 1, Bytes: 1000}},
		Spans: []Span{{
			Name: "only", Seconds: 1, Offered: map[string]float64{"bulk": 40, "small": 20},
			Targets: []Targets{{Count: 1, Slots: 1, Speed: 1}}, LinkMbps: 8.16,
		}},
	}
	p := solve(t, d, OrderValue)
	near(t, "bulk", p.Rows[0].InTime, 20)
	near(t, "small", p.Rows[1].InTime, 20)
	near(t, "link", p.Uses[1].Used, 8.16)
}

// Each service has its own slots: free slots of one serve no requests of the other.
func TestServices(t *testing.T) {
	d := &Day{
		Classes: []Class{{Name: "a", Service: "first", WorkMS: 10, Value: 1}, {Name: "b", Service: "second", WorkMS: 10, Value: 1}},
		Spans: []Span{{
			Name: "only", Seconds: 1, Offered: map[string]float64{"a": 300, "b": 10},
			Targets: []Targets{{Service: "first", Count: 1, Slots: 1, Speed: 1}, {Service: "second", Count: 9, Slots: 1, Speed: 1}},
		}},
	}
	p := solve(t, d, OrderValue)
	near(t, "a", p.Rows[0].InTime, 100)
	near(t, "b", p.Rows[1].InTime, 10)
}

// With one span and slots only, the solution is that of serving classes in the order of
// value by slot-second, for any numbers.
func TestOneSpanServesByValueOfASlotSecond(t *testing.T) {
	from := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		d := &Day{Spans: []Span{{
			Name: "only", Seconds: 1 + 9*from.Float64(), Offered: make(map[string]float64),
			Targets: []Targets{{Count: from.IntN(200), Slots: 2, Speed: 0.25 + from.Float64()}},
		}}}
		for i := range 1 + from.IntN(maxClasses) {
			c := Class{Name: string(rune('a' + i)), WorkMS: 1 + 50*from.Float64(), Value: 0.5 + 2*from.Float64()}
			d.Classes = append(d.Classes, c)
			d.Spans[0].Offered[c.Name] = 3000 * from.Float64()
		}
		near(t, "served", solve(t, d, OrderValue).Served, greedy(d))
	}
}

// greedy returns the value of the first span if classes are served in the order of value by
// slot-second.
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

// The greatest day that is allowed is solved, and nothing is served beyond what is offered
// or what there is room for.
func TestTheGreatestDay(t *testing.T) {
	from := rand.New(rand.NewPCG(3, 4))
	d := new(Day)
	for i := range maxClasses {
		d.Classes = append(d.Classes, Class{
			Name: string(rune('a' + i)), WorkMS: 5 + 40*from.Float64(), Value: 1 + from.Float64(), LateValue: 0.1,
			ObjectiveMS: 300, LimitMS: 2500, Bytes: 500 + 20_000*from.Float64(), Urgent: i == 2,
		})
	}
	for i := range maxSpans {
		s := Span{Name: string(rune('A' + i)), Seconds: 1, Offered: make(map[string]float64), LinkMbps: 120, Targets: []Targets{{Count: 20 + from.IntN(20), Slots: 2, Speed: 1}}}
		for _, c := range d.Classes {
			s.Offered[c.Name] = 600 * from.Float64()
		}
		d.Spans = append(d.Spans, s)
	}
	for _, order := range []Order{OrderValue, OrderUrgent} {
		p := solve(t, d, order)
		for _, r := range p.Rows {
			qt.Check(t, r.InTime+r.Late <= r.Offered*(1+1e-6), qt.IsTrue, qt.Commentf("%+v", r))
		}
		for _, u := range p.Uses {
			qt.Check(t, u.Used <= u.Room*(1+1e-6), qt.IsTrue, qt.Commentf("%+v", u))
		}
	}
}

func TestNothingIsOfferedOrNothingIsLeft(t *testing.T) {
	near(t, "value", solve(t, &Day{Classes: classes(), Spans: []Span{span("only", 0, 0)}}, OrderValue).Value(), 1)
	d := &Day{Classes: classes(), Spans: []Span{span("only", 10, 10)}}
	d.Spans[0].Targets = nil
	near(t, "value", solve(t, d, OrderValue).Value(), 0)
}

// The shipped example, solved by hand. In the peak 147 slots are left for 7 s. Urgent requests
// need 85.644 of them, and the other 61.356 serve 14,316.4 ordinary requests at 30 ms. What
// arrives in the last 0.3 s can be served in time after the peak, where 98.4 slots are free:
// 1,329.75 ordinary requests, and 658.8 urgent ones, whose slots then serve 856.44 more
// ordinary ones. Of the ordinary requests of the last 2 s, 8,865, the other 7,535.25 are
// served late.
func TestExample(t *testing.T) {
	d, err := Read("../../examples/experiment/bound/peak.json")
	qt.Assert(t, err, qt.IsNil)
	for _, order := range []Order{OrderValue, OrderUrgent} {
		p := solve(t, d, order)
		near(t, "slots", p.Uses[1].Room, 147)
		near(t, "slots used", p.Uses[1].Used, 147)
		near(t, "in time", p.Rows[1].InTime, 14316.4+1329.75+856.44)
		near(t, "late", p.Rows[1].Late, 7535.25)
		near(t, "urgent", p.Classes[1].Value, 1)
		near(t, "served", p.Served, 2*3940+16502.59+753.525+2*(2*1952+15372))
		var out strings.Builder
		qt.Assert(t, p.WriteTable(&out), qt.IsNil)
		qt.Check(t, out.String(), qt.Contains, order.String()+": value 0.")
	}
}

func TestInvalidDaysAreRefused(t *testing.T) {
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

func TestFilesThatCannotBeReadAreRefused(t *testing.T) {
	unknown := filepath.Join(t.TempDir(), "day.json")
	qt.Assert(t, os.WriteFile(unknown, []byte(`{"clases": []}`), 0o600), qt.IsNil)
	for _, path := range []string{unknown, "missing.json"} {
		_, err := Read(path)
		qt.Check(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeInvalid, qt.Commentf("%s", path))
	}
}
