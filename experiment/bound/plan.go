package bound

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Plan is the solution: what is served of what is offered.
type Plan struct {
	Order Order
	// Offered and Served are the values of all requests and of those that are served.
	Offered, Served float64
	// Classes are the results over all spans, Rows those of each span in which a class is
	// offered, by the span of arrival.
	Classes, Rows []Row
	Uses          []Use
}

// Row is the result of a class.
type Row struct {
	Span, Class string
	// Offered, InTime and Late are numbers of requests.
	Offered, InTime, Late float64
	// Value is the part of the value that is earned.
	Value float64
}

// Use is the used part of the slots of a service in a span, or of the links if Service is
// empty and Links is set.
type Use struct {
	Span, Service string
	Links         bool
	// Room is in slots of speed 1, or in Mbit/s.
	Room, Used float64
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
			sum.Value = p.day.Classes[class].earned(&sum) / (sum.Offered * p.day.Classes[class].Value)
			plan.Classes = append(plan.Classes, sum)
			plan.Offered += sum.Offered * p.day.Classes[class].Value
			plan.Served += p.day.Classes[class].earned(&sum)
		}
	}
	for at := range p.day.Spans {
		plan.Uses = append(plan.Uses, p.uses(at)...)
	}
	return plan
}

func (c *Class) earned(r *Row) float64 { return r.InTime*c.Value + r.Late*c.LateValue }

// row returns the result of a class in one span; ok is false if nothing is offered.
func (p *program) row(class, from int) (r Row, ok bool) {
	c, span := &p.day.Classes[class], &p.day.Spans[from]
	r = Row{Span: span.Name, Class: c.Name, Offered: span.requests(c.Name)}
	if r.Offered == 0 {
		return r, false
	}
	for _, f := range p.flows {
		switch {
		case f.class != class || f.from != from:
		case f.late:
			r.Late += f.share * f.requests
		default:
			r.InTime += f.share * f.requests
		}
	}
	r.Value = c.earned(&r) / (r.Offered * c.Value)
	return r, true
}

// uses returns the used parts of slots and links in a span.
func (p *program) uses(at int) (list []Use) {
	span := &p.day.Spans[at]
	for _, service := range p.day.services() {
		use := Use{Span: span.Name, Service: service, Room: span.slots(service)}
		for _, f := range p.flows {
			if c := &p.day.Classes[f.class]; f.at == at && c.Service == service {
				use.Used += f.share * f.requests * c.WorkMS / 1000 / span.Seconds
			}
		}
		list = append(list, use)
	}
	if span.LinkMbps > 0 {
		use := Use{Span: span.Name, Links: true, Room: span.LinkMbps}
		for _, f := range p.flows {
			if f.at == at {
				use.Used += f.share * f.requests * p.day.Classes[f.class].Bytes * 8 / 1e6 / span.Seconds
			}
		}
		list = append(list, use)
	}
	return list
}

// Value returns the part of the offered value that is earned, 1 if nothing is offered.
func (p *Plan) Value() float64 {
	if p.Offered == 0 {
		return 1
	}
	return p.Served / p.Offered
}

// WriteTable writes the plan as tables.
func (p *Plan) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%v: value %.4f of what is offered\n", p.Order, p.Value())
	fmt.Fprintln(t, "span\tclass\toffered\tin time\tlate\tvalue")
	for _, r := range p.Rows {
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.4f\n", r.Span, r.Class, r.Offered, r.InTime, r.Late, r.Value)
	}
	for _, r := range p.Classes {
		fmt.Fprintf(t, "all\t%s\t%.0f\t%.0f\t%.0f\t%.4f\n", r.Class, r.Offered, r.InTime, r.Late, r.Value)
	}
	fmt.Fprintln(t, "\nspan\troom\tin use\tof")
	for _, u := range p.Uses {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\n", u.Span, u.name(), u.Used, u.Room)
	}
	return t.Flush()
}

func (u *Use) name() string {
	switch {
	case u.Links:
		return "links, Mbit/s"
	case u.Service == "":
		return "slots"
	}
	return "slots of " + u.Service
}
