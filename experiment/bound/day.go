package bound

import (
	"bytes"
	"encoding/json"
	"os"

	"baobabstep"
)

// Day is the input: the offered requests and the available capacity.
type Day struct {
	Name    string  `json:"name"`
	Classes []Class `json:"classes"`
	Spans   []Span  `json:"spans"`
}

// Class is a class of requests.
type Class struct {
	Name string `json:"name"`
	// Service is the service whose targets serve the class. It may be empty if the day has
	// only one service.
	Service string `json:"service,omitempty"`
	// WorkMS is the service time of a request on a slot of speed 1.
	WorkMS float64 `json:"work_ms"`
	// Bytes is the number of bytes that a request transfers over the VM links.
	Bytes float64 `json:"bytes,omitempty"`
	// Value is earned by an answer within ObjectiveMS, LateValue by a later one within
	// LimitMS.
	Value       float64 `json:"value"`
	LateValue   float64 `json:"late_value,omitempty"`
	ObjectiveMS float64 `json:"objective_ms,omitempty"`
	LimitMS     float64 `json:"limit_ms,omitempty"`
	// Urgent is set for classes that OrderUrgent serves before all others.
	Urgent bool `json:"urgent,omitempty"`
}

// Span is a period of constant arrival rates and capacity.
type Span struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// Offered is the arrival rate of each class in requests per second.
	Offered map[string]float64 `json:"offered"`
	Targets []TargetGroup      `json:"targets"`
	// LinkMbps is the total link capacity of all VMs, 0 for unlimited.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// TargetGroup is a group of identical targets of a service.
type TargetGroup struct {
	Service string `json:"service,omitempty"`
	Count   int    `json:"count"`
	Slots   int    `json:"slots"`
	// Speed divides the service time: a target of speed 0.5 takes twice WorkMS.
	Speed float64 `json:"speed"`
}

// Limits on the size of a day. The time to solve grows with the product of both.
const (
	maxClasses = 8
	maxSpans   = 8
)

// Read reads and checks a day from a JSON file. Errors: CodeInvalid.
func Read(path string) (*Day, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, invalid("%v", err)
	}
	d := new(Day)
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(d); err != nil {
		return nil, invalid("%s: %v", path, err)
	}
	return d, d.Validate()
}

// Validate checks the day. Errors: CodeInvalid.
func (d *Day) Validate() error {
	if n := len(d.Classes); n < 1 || n > maxClasses {
		return invalid("classes: got %d, want 1 to %d", n, maxClasses)
	}
	if n := len(d.Spans); n < 1 || n > maxSpans {
		return invalid("spans: got %d, want 1 to %d", n, maxSpans)
	}
	names := make(map[string]bool)
	for i := range d.Classes {
		c := &d.Classes[i]
		if c.Name == "" || names[c.Name] {
			return invalid("classes: got name %q, want a unique, non-empty name", c.Name)
		}
		names[c.Name] = true
		if err := c.validate(); err != nil {
			return err
		}
	}
	spans := make(map[string]bool)
	for i := range d.Spans {
		s := &d.Spans[i]
		if s.Name == "" || spans[s.Name] {
			return invalid("spans: got name %q, want a unique, non-empty name", s.Name)
		}
		spans[s.Name] = true
		if err := s.validate(d); err != nil {
			return err
		}
	}
	return nil
}

func (c *Class) validate() error {
	switch {
	case c.WorkMS <= 0:
		return invalid("class %q: got work_ms %v, want more than 0", c.Name, c.WorkMS)
	case c.Value <= 0 || c.LateValue < 0 || c.LateValue > c.Value:
		return invalid("class %q: got value %v and late_value %v, want value above 0 and late_value from 0 to value", c.Name, c.Value, c.LateValue)
	case c.Bytes < 0 || c.ObjectiveMS < 0:
		return invalid("class %q: got bytes %v and objective_ms %v, want 0 or more", c.Name, c.Bytes, c.ObjectiveMS)
	case c.LateValue > 0 && c.LimitMS < c.ObjectiveMS:
		return invalid("class %q: got limit_ms %v, want at least objective_ms if late_value is set", c.Name, c.LimitMS)
	}
	return nil
}

func (s *Span) validate(d *Day) error {
	if s.Seconds <= 0 || s.LinkMbps < 0 {
		return invalid("span %q: got seconds %v and link_mbps %v, want seconds above 0 and link_mbps of 0 or more", s.Name, s.Seconds, s.LinkMbps)
	}
	for name, rate := range s.Offered {
		if d.class(name) == nil || rate < 0 {
			return invalid("span %q: offered: got %q %v, want a declared class and a rate of 0 or more", s.Name, name, rate)
		}
	}
	for _, t := range s.Targets {
		if t.Count < 0 || t.Slots < 0 || t.Speed < 0 {
			return invalid("span %q: targets: got count %d, slots %d, speed %v, want 0 or more", s.Name, t.Count, t.Slots, t.Speed)
		}
		if !d.hasService(t.Service) {
			return invalid("span %q: targets: got service %q, want the service of a declared class", s.Name, t.Service)
		}
	}
	return nil
}

func (d *Day) class(name string) *Class {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i]
		}
	}
	return nil
}

func (d *Day) hasService(name string) bool {
	for i := range d.Classes {
		if d.Classes[i].Service == name {
			return true
		}
	}
	return false
}

// slots returns the capacity of a service in slots of speed 1.
func (s *Span) slots(service string) (sum float64) {
	for _, t := range s.Targets {
		if t.Service == service {
			sum += float64(t.Count*t.Slots) * t.Speed
		}
	}
	return sum
}

// requests returns the number of requests of a class that arrive in the span.
func (s *Span) requests(class string) float64 { return s.Offered[class] * s.Seconds }

// linkBytes returns the link capacity in the span in bytes, 0 for unlimited.
func (s *Span) linkBytes() float64 { return s.LinkMbps * 1e6 / 8 * s.Seconds }

func invalid(format string, args ...any) error {
	return baobabstep.Errorf(baobabstep.CodeInvalid, "bound", format, args...)
}
