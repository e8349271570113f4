package bound

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Plan is the solution of the linear program.
type Plan struct {
	Order Order
	// OfferedValue is the total value if all requests are answered in time, EarnedValue the
	// value of the solution.
	OfferedValue, EarnedValue float64
	// Classes has the totals of each class, Rows its results by span of arrival. Both omit
	// classes without requests.
	Classes, Rows []Row
	// Usage has the usage of each resource in each span.
	Usage []Usage
}

// Row is the result of a class.
type Row struct {
	Span, Class string
	// Offered, InTime and Late are numbers of requests.
	Offered, InTime, Late float64
	// ValueShare is the earned share of the offered value.
	ValueShare float64
}

// Usage is the usage in a span of the slots of Service or, if Links is set, of the VM links.
type Usage struct {
	Span, Service string
	Links         bool
	// Capacity and Used are in slots of speed 1, or in Mbit/s for links.
	Capacity, Used float64
}

func (p *program) plan(order Order) *Plan {
	plan := &Plan{Order: order}
	for class := range p.day.Classes {
		sum := Row{Class: p.day.Classes[class].Name}
		for from := range p.day.Spans {
			if row, ok := p.row(class, from); ok {
				plan.Rows = append(plan.Rows, row)
				sum.Offered, sum.InTime, sum.Late = sum.Offered+row.Offered, sum.InTime+row.InTime, sum.Late+row.Late
			}
		}
		if sum.Offered > 0 {
			sum.ValueShare = p.day.Classes[class].earned(&sum) / (sum.Offered * p.day.Classes[class].Value)
			plan.Classes = append(plan.Classes, sum)
			plan.OfferedValue += sum.Offered * p.day.Classes[class].Value
			plan.EarnedValue += p.day.Classes[class].earned(&sum)
		}
	}
	for at := range p.day.Spans {
		plan.Usage = append(plan.Usage, p.usage(at)...)
	}
	return plan
}

func (c *Class) earned(r *Row) float64 { return r.InTime*c.Value + r.Late*c.LateValue }

// row returns the result of a class for one span of arrival; ok is false if the class has no
// requests there.
func (p *program) row(class, from int) (r Row, ok bool) {
	c, span := &p.day.Classes[class], &p.day.Spans[from]
	r = Row{Span: span.Name, Class: c.Name, Offered: span.requests(c.Name)}
	if r.Offered == 0 {
		return r, false
	}
	for _, v := range p.variables {
		switch {
		case v.class != class || v.from != from:
		case v.late:
			r.Late += v.share * v.requests
		default:
			r.InTime += v.share * v.requests
		}
	}
	r.ValueShare = c.earned(&r) / (r.Offered * c.Value)
	return r, true
}

// usage returns the usage of slots and links in a span.
func (p *program) usage(at int) (list []Usage) {
	span := &p.day.Spans[at]
	for _, service := range p.day.services() {
		use := Usage{Span: span.Name, Service: service, Capacity: span.slots(service)}
		for _, v := range p.variables {
			if c := &p.day.Classes[v.class]; v.at == at && c.Service == service {
				use.Used += v.share * v.requests * c.WorkMS / 1000 / span.Seconds
			}
		}
		list = append(list, use)
	}
	if span.LinkMbps > 0 {
		use := Usage{Span: span.Name, Links: true, Capacity: span.LinkMbps}
		for _, v := range p.variables {
			if v.at == at {
				use.Used += v.share * v.requests * p.day.Classes[v.class].Bytes * 8 / 1e6 / span.Seconds
			}
		}
		list = append(list, use)
	}
	return list
}

// ValueShare returns the earned share of the offered value, 1 if nothing is offered.
func (p *Plan) ValueShare() float64 {
	if p.OfferedValue == 0 {
		return 1
	}
	return p.EarnedValue / p.OfferedValue
}

// WriteTable writes the plan as tables.
func (p *Plan) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%v: value %.4f of what is offered\n", p.Order, p.ValueShare())
	fmt.Fprintln(t, "span\tclass\toffered\tin time\tlate\tvalue")
	for _, r := range p.Rows {
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.4f\n", r.Span, r.Class, r.Offered, r.InTime, r.Late, r.ValueShare)
	}
	for _, r := range p.Classes {
		fmt.Fprintf(t, "all\t%s\t%.0f\t%.0f\t%.0f\t%.4f\n", r.Class, r.Offered, r.InTime, r.Late, r.ValueShare)
	}
	fmt.Fprintln(t, "\nspan\troom\tin use\tof")
	for _, u := range p.Usage {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\n", u.Span, u.name(), u.Used, u.Capacity)
	}
	return t.Flush()
}

func (u *Usage) name() string {
	switch {
	case u.Links:
		return "links, Mbit/s"
	case u.Service == "":
		return "slots"
	}
	return "slots of " + u.Service
}
