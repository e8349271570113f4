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

// value is a decoded parameter value; only the field of its type is set.
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

// parseValue decodes raw as type t. If raw is invalid, allowed describes the
// permitted values; otherwise it is empty.
func parseValue(t Type, raw json.RawMessage) (v value, allowed string) {
	switch t {
	case TypeInteger:
		if decodeStrict(raw, &v.integer) != nil {
			return v, "an integer"
		}
	case TypeNumber:
		if decodeStrict(raw, &v.number) != nil || math.IsNaN(v.number) {
			return v, "a number"
		}
	case TypeDuration:
		var err error
		if decodeStrict(raw, &v.text) == nil {
			v.duration, err = time.ParseDuration(v.text)
		}
		if v.text == "" || err != nil {
			return v, `a duration as "250ms" or "2s"`
		}
	case TypeBoolean:
		if decodeStrict(raw, &v.boolean) != nil {
			return v, "true or false"
		}
	case TypeString:
		if decodeStrict(raw, &v.text) != nil {
			return v, "a string"
		}
	case TypeAddress:
		var err error
		if err = decodeStrict(raw, &v.text); err == nil {
			v.address, err = parseAddress(v.text)
		}
		if err != nil {
			return v, addressRule
		}
	case TypeStringList:
		if decodeStrict(raw, &v.list) != nil {
			return v, "a list of strings"
		}
	case TypeTargetList:
		if err := decodeStrict(raw, &v.targets); err != nil {
			return v, fmt.Sprintf("a list of targets with name, address, data_centre and optionally slots, connections, drained, evacuated (%v)", err)
		}
	case TypeClassRuleList:
		return parseClassRules(raw)
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

func parseClassRules(raw json.RawMessage) (v value, allowed string) {
	const rule = `a list of {"callers": "10.1.0.0/16", "class": "urgent" or "ordinary"}`
	var rules []ClassRuleValue
	if decodeStrict(raw, &rules) != nil {
		return v, rule
	}
	for _, r := range rules {
		prefix, err := netip.ParsePrefix(r.Callers)
		if err != nil {
			return v, rule
		}
		classRule := baobabstep.ClassRule{Callers: prefix.Masked()}
		switch r.Class {
		case "urgent":
			classRule.Class = baobabstep.ClassUrgent
		case "ordinary":
			classRule.Class = baobabstep.ClassOrdinary
		default:
			return v, rule
		}
		v.classes = append(v.classes, classRule)
	}
	return v, ""
}

// boundedSize returns the quantity that Min and Max bound.
func (v value) boundedSize(t Type) float64 {
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

// parseBound decodes Min or Max; lists and strings are bounded by their length. The
// text is empty or describes what is allowed.
func (p *Parameter) parseBound(raw json.RawMessage) (float64, string) {
	t := p.Type
	switch t {
	case TypeString, TypeStringList, TypeTargetList, TypeClassRuleList:
		t = TypeInteger
	case TypeBoolean, TypeAddress:
		return 0, "no bound for this type"
	}
	v, allowed := parseValue(t, raw)
	return v.boundedSize(t), allowed
}

// checkValue returns "" if raw is a permitted value of the parameter, and otherwise
// a description of the permitted values.
func (p *Parameter) checkValue(raw json.RawMessage) (allowed string) {
	v, allowed := parseValue(p.Type, raw)
	if allowed != "" {
		return allowed
	}
	if p.outOfRange(v) {
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

func (p *Parameter) outOfRange(v value) bool {
	size := v.boundedSize(p.Type)
	if p.Min != nil {
		if low, invalid := p.parseBound(p.Min); invalid == "" && size < low {
			return true
		}
	}
	if p.Max != nil {
		if high, invalid := p.parseBound(p.Max); invalid == "" && size > high {
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
