package bound

import (
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"baobabstep"
)

// Order is the priority order of classes.
type Order uint8

// Orders; the trailing comment of each is its name for stringer.
const (
	// OrderValue maximises the total value.
	OrderValue Order = iota // most_value
	// OrderUrgent serves urgent classes first, then maximises the value of the others.
	OrderUrgent // urgent_first
)

// Orders returns the orders that apply to the day: OrderUrgent only if it has an urgent
// class.
func (d *Day) Orders() []Order {
	if slices.ContainsFunc(d.Classes, func(c Class) bool { return c.Urgent }) {
		return []Order{OrderValue, OrderUrgent}
	}
	return []Order{OrderValue}
}

// tolerance is the tolerance of the simplex solver.
const tolerance = 1e-9

// Solve returns the optimal plan of the day. Errors: CodeInvalid if the day is invalid,
// CodeInternal if the solver fails numerically.
func (d *Day) Solve(order Order) (*Plan, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	p := newProgram(d, order)
	if len(p.variables) > 0 {
		if err := p.solve(); err != nil {
			return nil, baobabstep.Errorf(baobabstep.CodeInternal, "bound", "solve: %v", err)
		}
	}
	return p.plan(order), nil
}

// variable is a variable of the linear program: the share of the requests of a class
// arriving in span from that are answered in span at.
type variable struct {
	class, from, at int
	late            bool
	// requests is the number of requests of the class arriving in span from, value their
	// total value if answered in span at, and share the solution.
	requests, value, share float64
}

// program is the linear program: it maximises the weighted value, and the left side of each
// constraint is at most 1.
type program struct {
	day         *Day
	starts      []float64 // of spans, in seconds
	weights     []float64 // by class
	variables   []variable
	constraints [][]coefficient
}

// coefficient is the coefficient of a variable in a constraint.
type coefficient struct {
	variable int
	value    float64
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
		p.addCapacityConstraints(at)
	}
	return p
}

// weights returns the factor of each class in the objective function. For OrderUrgent, it
// makes the value per slot-second of urgent classes greater than that of all others.
func (d *Day) weights(order Order) []float64 {
	weights := make([]float64, len(d.Classes))
	maxOrdinary, minUrgent := 0.0, 0.0
	for i := range d.Classes {
		c := &d.Classes[i]
		weights[i] = 1
		rate := c.Value / c.WorkMS
		switch {
		case !c.Urgent:
			maxOrdinary = max(maxOrdinary, rate)
		case c.LateValue > 0:
			minUrgent = minPositive(minUrgent, c.LateValue/c.WorkMS)
		default:
			minUrgent = minPositive(minUrgent, rate)
		}
	}
	if order != OrderUrgent || minUrgent == 0 {
		return weights
	}
	const margin = 100
	for i := range d.Classes {
		if d.Classes[i].Urgent {
			weights[i] = max(1, margin*maxOrdinary/minUrgent)
		}
	}
	return weights
}

func minPositive(a, b float64) float64 {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// addArrivals adds the variables of the requests of a class that arrive in one span, and
// their arrival constraints.
func (p *program) addArrivals(class, from int) {
	c, span := &p.day.Classes[class], &p.day.Spans[from]
	requests := span.requests(c.Name)
	if requests == 0 {
		return
	}
	first := len(p.variables)
	for at := from; at < len(p.day.Spans); at++ {
		withinObjective, withinLimit := p.eligibleShare(from, at, c.ObjectiveMS), p.eligibleShare(from, at, c.LimitMS)
		if p.day.Spans[at].slots(c.Service) == 0 {
			continue
		}
		if withinObjective > 0 {
			p.variables = append(p.variables, variable{class: class, from: from, at: at, requests: requests, value: requests * c.Value})
		}
		if at > from && withinLimit > 0 && c.LateValue > 0 {
			p.variables = append(p.variables, variable{class: class, from: from, at: at, late: true, requests: requests, value: requests * c.LateValue})
		}
	}
	p.addArrivalConstraints(first, class, from)
}

// eligibleShare returns the share of the requests arriving in span from that can be answered
// in span at within the given latency.
func (p *program) eligibleShare(from, at int, withinMS float64) float64 {
	if at == from {
		return 1
	}
	length := p.day.Spans[from].Seconds
	wait := p.starts[at] - p.starts[from] - length
	return min(max(0, withinMS/1000-wait), length) / length
}

// addArrivalConstraints limits the variables from index first on: the sum of those for span
// at and all later spans is at most the share of requests that can still be answered in span
// at.
func (p *program) addArrivalConstraints(first, class, from int) {
	c := &p.day.Classes[class]
	for at := from; at < len(p.day.Spans); at++ {
		withinObjective, withinLimit := p.eligibleShare(from, at, c.ObjectiveMS), p.eligibleShare(from, at, max(c.ObjectiveMS, c.LimitMS))
		if withinLimit > 0 && (at == from || withinLimit < 1) {
			p.addConstraint(p.arrivalCoefficients(first, at, withinLimit, true))
		}
		if withinObjective > 0 && withinObjective < withinLimit {
			p.addConstraint(p.arrivalCoefficients(first, at, withinObjective, false))
		}
	}
}

// arrivalCoefficients returns the coefficients that limit the sum of the variables from index
// first on, for span at and all later spans, to share.
func (p *program) arrivalCoefficients(first, at int, share float64, withLate bool) (list []coefficient) {
	for i := first; i < len(p.variables); i++ {
		if v := &p.variables[i]; v.at >= at && (withLate || !v.late) {
			list = append(list, coefficient{i, 1 / share})
		}
	}
	return list
}

// addCapacityConstraints limits the slots of each service and the bytes on the links in a
// span.
func (p *program) addCapacityConstraints(at int) {
	span := &p.day.Spans[at]
	links := make([]coefficient, 0, len(p.variables))
	services := make(map[string][]coefficient)
	for i, v := range p.variables {
		if v.at != at {
			continue
		}
		c := &p.day.Classes[v.class]
		services[c.Service] = append(services[c.Service], coefficient{i, v.requests * c.WorkMS / 1000 / (span.slots(c.Service) * span.Seconds)})
		if span.LinkMbps > 0 && c.Bytes > 0 {
			links = append(links, coefficient{i, v.requests * c.Bytes / span.linkBytes()})
		}
	}
	for _, service := range p.day.services() {
		p.addConstraint(services[service])
	}
	p.addConstraint(links)
}

func (p *program) addConstraint(list []coefficient) {
	if len(list) > 0 {
		p.constraints = append(p.constraints, list)
	}
}

// services returns the sorted names of the services.
func (d *Day) services() (list []string) {
	for i := range d.Classes {
		list = append(list, d.Classes[i].Service)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// solve sets the share of each variable. Each constraint gets a slack variable; these form
// the initial feasible basis, in which all shares are 0.
func (p *program) solve() error {
	rows, columns := len(p.constraints), len(p.variables)+len(p.constraints)
	a, b, cost := mat.NewDense(rows, columns, nil), make([]float64, rows), make([]float64, columns)
	basis := make([]int, rows)
	maxValue := 0.0
	for i := range p.variables {
		maxValue = max(maxValue, p.variables[i].value*p.weights[p.variables[i].class])
	}
	for i := range p.variables {
		cost[i] = -p.variables[i].value * p.weights[p.variables[i].class] / maxValue
	}
	for row, constraint := range p.constraints {
		for _, c := range constraint {
			a.Set(row, c.variable, c.value)
		}
		slack := len(p.variables) + row
		a.Set(row, slack, 1)
		b[row], basis[row] = 1, slack
	}
	_, shares, err := lp.Simplex(cost, a, b, tolerance, basis)
	if err != nil {
		return err
	}
	for i := range p.variables {
		p.variables[i].share = min(max(0, shares[i]), 1)
	}
	return nil
}
