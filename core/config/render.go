package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sort"

	"baobabstep"
)

// RenderInput is the input of [Render].
type RenderInput struct {
	Version    uint64
	Digest     Digest
	FlowSecret [16]byte
	Quarantine []baobabstep.Quarantine
	Templates  []*Template
	Accounts   []*Account
}

// Render renders templates and accounts into a configuration, or returns
// CodeInvalid with the [Problems].
func Render(in RenderInput) (*baobabstep.Config, error) {
	var p Problems
	templates := make(map[string]*Template, len(in.Templates))
	for _, t := range in.Templates {
		t.check(&p)
		if templates[t.Name] != nil {
			p.add("templates."+t.Name, t.Name, "each name once")
		}
		templates[t.Name] = t
	}
	c := &baobabstep.Config{Version: in.Version, Digest: in.Digest, FlowSecret: in.FlowSecret, Quarantine: in.Quarantine}
	for _, a := range in.Accounts {
		c.Services = append(c.Services, renderAccount(&p, a, templates)...)
	}
	if err := p.toError("config.render"); err != nil {
		return nil, err
	}
	return checkAndIndex(c)
}

// checkAndIndex checks what spans accounts and builds the lookup indexes.
func checkAndIndex(c *baobabstep.Config) (*baobabstep.Config, error) {
	sort.Slice(c.Services, func(i, j int) bool { return c.Services[i].Name < c.Services[j].Name })
	var p Problems
	checkUniqueness(&p, c)
	if err := p.toError("config.render"); err != nil {
		return nil, err
	}
	c.Index()
	return c, nil
}

// renderAccount renders the services of one account.
func renderAccount(p *Problems, a *Account, templates map[string]*Template) []baobabstep.Service {
	path := "accounts." + a.Name
	if a.Format != Format {
		p.add(path+".format", a.Format, "%d", Format)
	}
	checkName(p, path+".name", a.Name)
	if len(a.Services) == 0 {
		p.add(path+".services", "[]", "at least one service")
	}
	var services []baobabstep.Service
	for i := range a.Services {
		s := &a.Services[i]
		servicePath := path + ".services." + s.Name
		checkName(p, servicePath+".name", s.Name)
		t := templates[s.Template]
		if t == nil {
			p.add(servicePath+".template", fmt.Sprintf("%q", s.Template), "the name of a template")
			continue
		}
		if service, ok := renderService(p, servicePath, a, s, t); ok {
			services = append(services, service)
		}
	}
	return services
}

func renderService(p *Problems, path string, a *Account, s *AccountService, t *Template) (baobabstep.Service, bool) {
	before := len(*p)
	t.checkValues(p, path, s)
	values := map[string]value{}
	for _, set := range t.Service.settings() {
		raw := t.resolve(set, s.Values)
		if raw == nil {
			continue
		}
		v, allowed := parseValue(set.typ, raw)
		if allowed != "" && len(*p) == before {
			p.add(path+"."+set.name, string(raw), "%s", allowed)
		}
		values[set.name] = v
	}
	if len(*p) > before {
		return baobabstep.Service{}, false
	}
	out := baobabstep.Service{
		ID: baobabstep.MakeServiceID(a.Name, s.Name), Name: a.Name + "/" + s.Name, Account: a.Name,
		Address: values["address"].address, DataCentres: values["data_centres"].list,
		MaxTimeout: values["max_timeout"].duration, DefaultTimeout: values["default_timeout"].duration,
		OrdinaryFloor: values["ordinary_floor"].number, RetryShare: values["retry_share"].number,
		QueueLimit: values["queue_limit"].integer, MaxEjectedShare: values["max_ejected_share"].number,
		ClassRules: values["classes"].classes, Stream: values["stream"].boolean,
	}
	checkService(p, path, &out)
	for _, tv := range values["targets"].targets {
		target := renderTarget(p, path+".targets."+tv.Name, &out, tv)
		target.Slots = valueOrDefault(tv.Slots, values["slots"].integer)
		target.Connections = valueOrDefault(tv.Connections, values["connections"].integer)
		if target.Slots < 1 || target.Connections < 0 {
			p.add(path+".targets."+tv.Name, fmt.Sprintf("%d slots and %d connections", target.Slots, target.Connections), "at least 1 slot and no negative count")
		}
		out.Targets = append(out.Targets, target)
	}
	if len(out.Targets) == 0 {
		p.add(path+".targets", "[]", "at least one target")
	}
	return out, len(*p) == before
}

func valueOrDefault(n, defaultValue int) int {
	if n != 0 {
		return n
	}
	return defaultValue
}

// resolve returns the JSON of one setting: the template's literal, the account's
// value of the parameter, the parameter's default, or, if the template omits the
// setting, the setting's default.
func (t *Template) resolve(s setting, values map[string]json.RawMessage) json.RawMessage {
	if s.raw == nil {
		return s.defaultValue
	}
	name, isParameter := parameterName(s.raw)
	if !isParameter {
		return s.raw
	}
	if raw, ok := values[name]; ok {
		return raw
	}
	if q := t.parameter(name); q != nil {
		return q.Default
	}
	return nil
}

func checkService(p *Problems, path string, s *baobabstep.Service) {
	if len(s.DataCentres) == 0 {
		p.add(path+".data_centres", "[]", "at least one data centre")
	}
	if s.MaxTimeout <= 0 || s.DefaultTimeout <= 0 || s.DefaultTimeout > s.MaxTimeout {
		p.add(path+".default_timeout", s.DefaultTimeout, "above 0 and at most max_timeout %v", s.MaxTimeout)
	}
	for _, share := range []struct {
		name  string
		value float64
	}{{"ordinary_floor", s.OrdinaryFloor}, {"retry_share", s.RetryShare}, {"max_ejected_share", s.MaxEjectedShare}} {
		if share.value < 0 || share.value > 1 {
			p.add(path+"."+share.name, share.value, "a share from 0 to 1")
		}
	}
	if s.QueueLimit < 0 {
		p.add(path+".queue_limit", s.QueueLimit, "at least 0")
	}
}

func renderTarget(p *Problems, path string, s *baobabstep.Service, v TargetValue) baobabstep.Target {
	checkName(p, path+".name", v.Name)
	address, err := parseAddress(v.Address)
	if err != nil {
		p.add(path+".address", fmt.Sprintf("%q", v.Address), addressRule)
	}
	if !slices.Contains(s.DataCentres, v.DataCentre) {
		p.add(path+".data_centre", fmt.Sprintf("%q", v.DataCentre), "one of the service's data centres %v", s.DataCentres)
	}
	return baobabstep.Target{
		ID: baobabstep.MakeTargetID(v.Name), Name: v.Name, Service: s.ID, Address: address,
		DataCentre: v.DataCentre, Drained: v.Drained || v.Evacuated,
	}
}

// owner is the service or target that has a key: an address or an identifier.
type owner struct {
	service *baobabstep.Service
	target  *baobabstep.Target
}

func (o owner) String() string {
	if o.target != nil {
		return "target " + o.target.Name + " of " + o.service.Name
	}
	return "service " + o.service.Name
}

// checkUniqueness rejects addresses and identifiers that are used twice, which
// no single document shows. Two services that share an address would receive
// each other's packets, two targets that share an identifier each other's flows.
func checkUniqueness(p *Problems, c *baobabstep.Config) {
	n := 0
	for i := range c.Services {
		n += len(c.Services[i].Targets)
	}
	addresses := make(map[netip.AddrPort]owner, n+len(c.Services))
	services := make(map[baobabstep.ServiceID]owner, len(c.Services))
	targets := make(map[baobabstep.TargetID]owner, n)
	for i := range c.Services {
		s := &c.Services[i]
		claimKey(p, services, s.ID, owner{s, nil}, "a name, or hash of a name, that no other service has")
		claimKey(p, addresses, s.Address, owner{s, nil}, "an address that nothing else has")
		for j := range s.Targets {
			t := &s.Targets[j]
			claimKey(p, targets, t.ID, owner{s, t}, "a name, or hash of a name, that no other target has")
			claimKey(p, addresses, t.Address, owner{s, t}, "an address that nothing else has")
		}
	}
}

// claimKey records the owner of a key, or a problem if the key is taken. Texts are
// only formatted for a problem, because each VM checks each version.
func claimKey[K comparable](p *Problems, taken map[K]owner, key K, newOwner owner, rule string) {
	if other, ok := taken[key]; ok {
		p.add(newOwner.String(), key, "%s (taken by %v)", rule, other)
		return
	}
	taken[key] = newOwner
}
