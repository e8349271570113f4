package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"baobabstep"
)

// value is a parameter's value after decoding; the field of its type is set.
type value struct {
	integer  int
	number   float64
	duration time.Duration
	boolean  bool
	text     string
	address  netip.AddrPort
	list     []string
	targets  []TargetValue
	classes  []baobabstep.ClassRule
}

// parseValue decodes raw by its type. The returned text is empty or says what
// is allowed.
func parseValue(t Type, raw json.RawMessage) (v value, allowed string) {
	switch t {
	case TypeInteger:
		if decodeAny(raw, &v.integer) != nil {
			return v, "an integer"
		}
	case TypeNumber:
		if decodeAny(raw, &v.number) != nil || math.IsNaN(v.number) {
			return v, "a number"
		}
	case TypeDuration:
		var err error
		if decodeAny(raw, &v.text) == nil {
			v.duration, err = time.ParseDuration(v.text)
		}
		if v.text == "" || err != nil {
			return v, `a duration as "250ms" or "2s"`
		}
	case TypeBoolean:
		if decodeAny(raw, &v.boolean) != nil {
			return v, "true or false"
		}
	case TypeString:
		if decodeAny(raw, &v.text) != nil {
			return v, "a string"
		}
	case TypeAddress:
		var err error
		if err = decodeAny(raw, &v.text); err == nil {
			v.address, err = parseAddress(v.text)
		}
		if err != nil {
			return v, addressRule
		}
	case TypeStringList:
		if decodeAny(raw, &v.list) != nil {
			return v, "a list of strings"
		}
	case TypeTargetList:
		if err := decodeAny(raw, &v.targets); err != nil {
			return v, fmt.Sprintf("a list of targets with name, address, data_centre and optionally slots, connections, drained, evacuated (%v)", err)
		}
	case TypeClassRuleList:
		return parseClasses(raw)
	default:
		return v, "a known type"
	}
	return v, ""
}

const addressRule = `an address with port as "127.0.0.1:7001"`

func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err == nil && (a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "") {
		err = baobabstep.Errorf(baobabstep.CodeInvalid, "config.address", "got %q, want %s", s, addressRule)
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), err
}

func parseClasses(raw json.RawMessage) (v value, allowed string) {
	const rule = `a list of {"callers": "10.1.0.0/16", "class": "urgent" or "ordinary"}`
	var rules []ClassRuleValue
	if decodeAny(raw, &rules) != nil {
		return v, rule
	}
	for _, r := range rules {
		prefix, err := netip.ParsePrefix(r.Callers)
		if err != nil {
			return v, rule
		}
		one := baobabstep.ClassRule{Callers: prefix.Masked()}
		switch r.Class {
		case "urgent":
			one.Class = baobabstep.ClassUrgent
		case "ordinary":
			one.Class = baobabstep.ClassOrdinary
		default:
			return v, rule
		}
		v.classes = append(v.classes, one)
	}
	return v, ""
}

// size is what Min and Max bound.
func (v value) size(t Type) float64 {
	switch t {
	case TypeInteger:
		return float64(v.integer)
	case TypeNumber:
		return v.number
	case TypeDuration:
		return v.duration.Seconds()
	case TypeString:
		return float64(len(v.text))
	case TypeStringList:
		return float64(len(v.list))
	case TypeTargetList:
		return float64(len(v.targets))
	case TypeClassRuleList:
		return float64(len(v.classes))
	}
	return 0
}

// bound decodes Min or Max; lists and strings are bounded by their length.
func (p *Parameter) bound(raw json.RawMessage) (float64, string) {
	t := p.Type
	switch t {
	case TypeString, TypeStringList, TypeTargetList, TypeClassRuleList:
		t = TypeInteger
	case TypeBoolean, TypeAddress:
		return 0, "no bound for this type"
	}
	v, allowed := parseValue(t, raw)
	return v.size(t), allowed
}

// refuse checks a value of the parameter. It returns what is allowed instead,
// or nothing if the value is.
func (p *Parameter) refuse(raw json.RawMessage) (allowed string) {
	v, allowed := parseValue(p.Type, raw)
	if allowed != "" {
		return allowed
	}
	if p.outside(v) {
		return p.rangeText()
	}
	if len(p.Allowed) == 0 {
		return ""
	}
	items := v.list
	if p.Type == TypeString {
		items = []string{v.text}
	}
	for _, item := range items {
		if !slices.Contains(p.Allowed, item) {
			return "one of " + strings.Join(p.Allowed, ", ")
		}
	}
	return ""
}

func (p *Parameter) outside(v value) bool {
	size := v.size(p.Type)
	if p.Min != nil {
		if low, bad := p.bound(p.Min); bad == "" && size < low {
			return true
		}
	}
	if p.Max != nil {
		if high, bad := p.bound(p.Max); bad == "" && size > high {
			return true
		}
	}
	return false
}

func (p *Parameter) rangeText() string {
	what := ""
	switch p.Type {
	case TypeString, TypeStringList, TypeTargetList, TypeClassRuleList:
		what = "a length "
	}
	switch {
	case p.Min == nil:
		return fmt.Sprintf("%sof at most %s", what, p.Max)
	case p.Max == nil:
		return fmt.Sprintf("%sof at least %s", what, p.Min)
	}
	return fmt.Sprintf("%sfrom %s to %s", what, p.Min, p.Max)
}
