package bound

import (
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"baobabstep"
)

// Order is the order in which classes are served.
type Order uint8

// Orders. The line comment of each is its name in tables.
const (
	// OrderValue: whatever gives the greatest value.
	OrderValue Order = iota // most_value
	// OrderUrgent: urgent classes before all others, then the greatest value.
	OrderUrgent // urgent_first
)

// Orders returns the orders that differ for the classes of the day.
func (d *Day) Orders() []Order {
	if slices.ContainsFunc(d.Classes, func(c Class) bool { return c.Urgent }) {
		return []Order{OrderValue, OrderUrgent}
	}
	return []Order{OrderValue}
}

// tolerance is the relative error of a solution.
const tolerance = 1e-9

// Solve returns the bound of the day. Errors: CodeInvalid if the day is invalid,
// CodeInternal if the program has no solution for numeric reasons.
func (d *Day) Solve(order Order) (*Plan, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	p := newProgram(d, order)
	if len(p.flows) > 0 {
		if err := p.solve(); err != nil {
			return nil, baobabstep.Errorf(baobabstep.CodeInternal, "bound", "solve: %v", err)
		}
	}
	return p.plan(order), nil
}

// flow is a variable of the linear program: the share of the requests of a class that
// arrive in one span and are answered in the same or a later one.
type flow struct {
	class, from, at int
	late            bool
	// requests is the number of requests of the class in span from, value what all of them
	// would earn, share the part of them in the solution.
	requests, value, share float64
}

// program is the linear program: the value of the flows is maximised, and the sum of
// coefficients of each limit is at most 1.
type program struct {
	day     *Day
	starts  []float64
	weights []float64
	flows   []flow
	limits  [][]coefficient
}

// coefficient is what one flow takes from a limit if its share is 1.
type coefficient struct {
	flow int
	of   float64
}

func newProgram(d *Day, order Order) *program {
	p := &program{day: d, starts: make([]float64, len(d.Spans)), weights: d.weights(order)}
	for i := 1; i < len(d.Spans); i++ {
		p.starts[i] = p.starts[i-1] + d.Spans[i-1].Seconds
	}
	for class := range d.Classes {
		for from := range d.Spans {
			p.addArrivals(class, from)
		}
	}
	for at := range d.Spans {
		p.limitSpan(at)
	}
	return p
}

// weights returns the factor of each class's value. That of urgent classes makes a
// slot-second of theirs worth more than one of any other class.
func (d *Day) weights(order Order) []float64 {
	weights := make([]float64, len(d.Classes))
	mostOrdinary, leastUrgent := 0.0, 0.0
	for i := range d.Classes {
		c := &d.Classes[i]
		weights[i] = 1
		rate := c.Value / c.WorkMS
		switch {
		case !c.Urgent:
			mostOrdinary = max(mostOrdinary, rate)
		case c.LateValue > 0:
			leastUrgent = leastPositive(leastUrgent, c.LateValue/c.WorkMS)
		default:
			leastUrgent = leastPositive(leastUrgent, rate)
		}
	}
	if order != OrderUrgent || leastUrgent == 0 {
		return weights
	}
	const margin = 100
	for i := range d.Classes {
		if d.Classes[i].Urgent {
			weights[i] = max(1, margin*mostOrdinary/leastUrgent)
		}
	}
	return weights
}

func leastPositive(a, b float64) float64 {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// addArrivals adds the flows of the requests of a class that arrive in one span, and the
// limits on how many of them can wait for each later span.
func (p *program) addArrivals(class, from int) {
	c, span := &p.day.Classes[class], &p.day.Spans[from]
	requests := span.requests(c.Name)
	if requests == 0 {
		return
	}
	first := len(p.flows)
	for at := from; at < len(p.day.Spans); at++ {
		inTime, inLimit := p.waitShare(from, at, c.ObjectiveMS), p.waitShare(from, at, c.LimitMS)
		if p.day.Spans[at].slots(c.Service) == 0 {
			continue
		}
		if inTime > 0 {
			p.flows = append(p.flows, flow{class: class, from: from, at: at, requests: requests, value: requests * c.Value})
		}
		if at > from && inLimit > 0 && c.LateValue > 0 {
			p.flows = append(p.flows, flow{class: class, from: from, at: at, late: true, requests: requests, value: requests * c.LateValue})
		}
	}
	p.limitWait(first, class, from)
}

// waitShare returns the part of the requests of one span that can be answered in another
// within a time.
func (p *program) waitShare(from, at int, withinMS float64) float64 {
	if at == from {
		return 1
	}
	length := p.day.Spans[from].Seconds
	wait := p.starts[at] - p.starts[from] - length
	return min(max(0, withinMS/1000-wait), length) / length
}

// limitWait limits the flows from index first on: those into a span and all later ones are
// at most the part of the requests that can wait for that span.
func (p *program) limitWait(first, class, from int) {
	c := &p.day.Classes[class]
	for at := from; at < len(p.day.Spans); at++ {
		inTime, inLimit := p.waitShare(from, at, c.ObjectiveMS), p.waitShare(from, at, max(c.ObjectiveMS, c.LimitMS))
		if inLimit > 0 && (at == from || inLimit < 1) {
			p.addLimit(p.intoSpan(first, at, inLimit, true))
		}
		if inTime > 0 && inTime < inLimit {
			p.addLimit(p.intoSpan(first, at, inTime, false))
		}
	}
}

// intoSpan returns the coefficients of the flows from index first on into a span and all
// later ones, which may be share together.
func (p *program) intoSpan(first, at int, share float64, withLate bool) (list []coefficient) {
	for i := first; i < len(p.flows); i++ {
		if f := &p.flows[i]; f.at >= at && (withLate || !f.late) {
			list = append(list, coefficient{i, 1 / share})
		}
	}
	return list
}

// limitSpan limits the slots of each service and the bytes of the links in a span.
func (p *program) limitSpan(at int) {
	span := &p.day.Spans[at]
	links := make([]coefficient, 0, len(p.flows))
	services := make(map[string][]coefficient)
	for i, f := range p.flows {
		if f.at != at {
			continue
		}
		c := &p.day.Classes[f.class]
		services[c.Service] = append(services[c.Service], coefficient{i, f.requests * c.WorkMS / 1000 / (span.slots(c.Service) * span.Seconds)})
		if span.LinkMbps > 0 && c.Bytes > 0 {
			links = append(links, coefficient{i, f.requests * c.Bytes / span.linkBytes()})
		}
	}
	for _, service := range p.day.services() {
		p.addLimit(services[service])
	}
	p.addLimit(links)
}

func (p *program) addLimit(l []coefficient) {
	if len(l) > 0 {
		p.limits = append(p.limits, l)
	}
}

// services returns the names of the services in order.
func (d *Day) services() (list []string) {
	for i := range d.Classes {
		list = append(list, d.Classes[i].Service)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// solve sets the share of each flow. Each limit gets a slack variable, and all shares 0 are
// the first solution.
func (p *program) solve() error {
	rows, columns := len(p.limits), len(p.flows)+len(p.limits)
	a, b, cost := mat.NewDense(rows, columns, nil), make([]float64, rows), make([]float64, columns)
	basis := make([]int, rows)
	greatest := 0.0
	for i := range p.flows {
		greatest = max(greatest, p.flows[i].value*p.weights[p.flows[i].class])
	}
	for i := range p.flows {
		cost[i] = -p.flows[i].value * p.weights[p.flows[i].class] / greatest
	}
	for row, limit := range p.limits {
		for _, c := range limit {
			a.Set(row, c.flow, c.of)
		}
		slack := len(p.flows) + row
		a.Set(row, slack, 1)
		b[row], basis[row] = 1, slack
	}
	_, shares, err := lp.Simplex(cost, a, b, tolerance, basis)
	if err != nil {
		return err
	}
	for i := range p.flows {
		p.flows[i].share = min(max(0, shares[i]), 1)
	}
	return nil
}
