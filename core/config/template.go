package config

import (
	"encoding/json"
	"fmt"
	"strings"
)

// setting is one field of a ServiceTemplate.
type setting struct {
	name         string
	typ          Type
	raw          json.RawMessage
	required     bool
	defaultValue json.RawMessage
}

// settings lists the fields of the template with their types and default values.
func (s *ServiceTemplate) settings() []setting {
	std := func(s string) json.RawMessage { return json.RawMessage(s) }
	return []setting{
		{"address", TypeAddress, s.Address, true, nil},
		{"data_centres", TypeStringList, s.DataCentres, true, nil},
		{"targets", TypeTargetList, s.Targets, true, nil},
		{"stream", TypeBoolean, s.Stream, false, std("false")},
		{"slots", TypeInteger, s.Slots, false, std("2")},
		{"connections", TypeInteger, s.Connections, false, std("2000")},
		{"max_timeout", TypeDuration, s.MaxTimeout, false, std(`"30s"`)},
		{"default_timeout", TypeDuration, s.DefaultTimeout, false, std(`"5s"`)},
		{"ordinary_floor", TypeNumber, s.OrdinaryFloor, false, std("0.1")},
		{"retry_share", TypeNumber, s.RetryShare, false, std("0.1")},
		{"queue_limit", TypeInteger, s.QueueLimit, false, std("8")},
		{"max_ejected_share", TypeNumber, s.MaxEjectedShare, false, std("0.34")},
		{"classes", TypeClassRuleList, s.Classes, false, std("[]")},
	}
}

// parameterName returns the name in "$name", or false for a literal.
func parameterName(raw json.RawMessage) (string, bool) {
	s := string(raw)
	if !strings.HasPrefix(s, `"$`) || len(s) < 4 {
		return "", false
	}
	return s[2 : len(s)-1], true
}

// parameter returns the parameter called name, or nil.
func (t *Template) parameter(name string) *Parameter {
	for i := range t.Parameters {
		if t.Parameters[i].Name == name {
			return &t.Parameters[i]
		}
	}
	return nil
}

// Check validates the template without the accounts that use it.
func (t *Template) Check() error {
	var p Problems
	t.check(&p)
	return p.toError("config.check_template")
}

func (t *Template) check(p *Problems) {
	path := "templates." + t.Name
	if t.Format != Format {
		p.add(path+".format", t.Format, "%d", Format)
	}
	checkName(p, path+".name", t.Name)
	if t.SchemaVersion < 1 {
		p.add(path+".schema_version", t.SchemaVersion, "at least 1")
	}
	if t.Doc == "" {
		p.add(path+".doc", `""`, "a sentence on what the template is for")
	}
	seen := map[string]bool{}
	for i := range t.Parameters {
		q := &t.Parameters[i]
		if seen[q.Name] {
			p.add(path+".parameters", q.Name, "each name once")
		}
		seen[q.Name] = true
		q.check(p, path+".parameters."+q.Name)
	}
	t.checkSettings(p, path+".service")
}

func (p *Parameter) check(problems *Problems, path string) {
	checkName(problems, path+".name", p.Name)
	if p.Doc == "" {
		problems.add(path+".doc", `""`, "a sentence on what the value does")
	}
	for _, b := range []struct {
		name string
		raw  json.RawMessage
	}{{"min", p.Min}, {"max", p.Max}} {
		if b.raw == nil {
			continue
		}
		if _, allowed := p.parseBound(b.raw); allowed != "" {
			problems.add(path+"."+b.name, string(b.raw), "%s", allowed)
		}
	}
	if len(p.Allowed) > 0 && p.Type != TypeString && p.Type != TypeStringList {
		problems.add(path+".allowed", fmt.Sprint(p.Allowed), "nothing for type %v", p.Type)
	}
	if p.Default == nil {
		return
	}
	if allowed := p.checkValue(p.Default); allowed != "" {
		problems.add(path+".default", string(p.Default), "%s", allowed)
	}
}

func (t *Template) checkSettings(p *Problems, path string) {
	for _, s := range t.Service.settings() {
		settingPath := path + "." + s.name
		name, isParameter := parameterName(s.raw)
		switch {
		case s.raw == nil && s.required:
			p.add(settingPath, "nothing", "a literal or a parameter as \"$name\"")
		case s.raw == nil:
		case isParameter:
			q := t.parameter(name)
			if q == nil {
				p.add(settingPath, string(s.raw), "the name of a declared parameter")
			} else if q.Type != s.typ {
				p.add(settingPath, fmt.Sprintf("%s of type %v", s.raw, q.Type), "a parameter of type %v", s.typ)
			}
		default:
			if _, allowed := parseValue(s.typ, s.raw); allowed != "" {
				p.add(settingPath, string(s.raw), "%s", allowed)
			}
		}
	}
}

// CheckTemplateChange checks whether changed may replace old while accounts use
// it. New parameters with a default, wider ranges, and changed docs and defaults
// are allowed. It rejects a changed parameter type, the removal of a parameter
// that an account sets, a required parameter that an account lacks, and a range
// that excludes a value in use. A change of the parameters must increment the
// schema version, so that two edits of one template are distinguishable.
func CheckTemplateChange(old, changed *Template, accounts []*Account) error {
	var p Problems
	path := "templates." + changed.Name
	if string(Encode(old.Parameters)) != string(Encode(changed.Parameters)) && changed.SchemaVersion != old.SchemaVersion+1 {
		p.add(path+".schema_version", changed.SchemaVersion, "%d, since the parameters change", old.SchemaVersion+1)
	}
	for i := range old.Parameters {
		before := &old.Parameters[i]
		after := changed.parameter(before.Name)
		if after != nil && after.Type != before.Type {
			p.add(path+".parameters."+before.Name+".type", after.Type, "%v; add a parameter of another name instead", before.Type)
		}
	}
	for _, a := range accounts {
		for i := range a.Services {
			if s := &a.Services[i]; s.Template == changed.Name {
				changed.checkValues(&p, "accounts."+a.Name+".services."+s.Name, s)
			}
		}
	}
	return p.toError("config.check_template_change")
}

// checkValues checks the values of one service of an account against the
// template's parameters.
func (t *Template) checkValues(p *Problems, path string, s *AccountService) {
	for name, raw := range s.Values {
		q := t.parameter(name)
		if q == nil {
			p.add(path+".values."+name, string(raw), "a parameter of template %s", t.Name)
			continue
		}
		if allowed := q.checkValue(raw); allowed != "" {
			p.add(path+".values."+name, string(raw), "%s", allowed)
		}
	}
	for i := range t.Parameters {
		q := &t.Parameters[i]
		if _, ok := s.Values[q.Name]; !ok && q.Default == nil {
			p.add(path+".values."+q.Name, "nothing", "a value of type %v: %s", q.Type, q.Doc)
		}
	}
}
