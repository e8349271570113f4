package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sort"

	"baobabstep"
)

// RenderInput is what one version is made of.
type RenderInput struct {
	Version    uint64
	Digest     Digest
	FlowSecret [16]byte
	Quarantine []baobabstep.Quarantine
	Templates  []*Template
	Accounts   []*Account
}

// Render makes the configuration of templates and accounts, or returns
// CodeInvalid with [Problems] that name each path, value and rule.
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
	if err := p.err("config.render"); err != nil {
		return nil, err
	}
	return finish(c)
}

// finish checks what spans accounts and prepares the look-ups.
func finish(c *baobabstep.Config) (*baobabstep.Config, error) {
	sort.Slice(c.Services, func(i, j int) bool { return c.Services[i].Name < c.Services[j].Name })
	var p Problems
	checkWhole(&p, c)
	if err := p.err("config.render"); err != nil {
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
		at := path + ".services." + s.Name
		checkName(p, at+".name", s.Name)
		t := templates[s.Template]
		if t == nil {
			p.add(at+".template", fmt.Sprintf("%q", s.Template), "the name of a template")
			continue
		}
		if one, ok := renderService(p, at, a, s, t); ok {
			services = append(services, one)
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
		one := renderTarget(p, path+".targets."+tv.Name, &out, tv)
		one.Slots = orElse(tv.Slots, values["slots"].integer)
		one.Connections = orElse(tv.Connections, values["connections"].integer)
		if one.Slots < 1 || one.Connections < 0 {
			p.add(path+".targets."+tv.Name, fmt.Sprintf("%d slots and %d connections", one.Slots, one.Connections), "at least 1 slot and no negative count")
		}
		out.Targets = append(out.Targets, one)
	}
	if len(out.Targets) == 0 {
		p.add(path+".targets", "[]", "at least one target")
	}
	return out, len(*p) == before
}

func orElse(n, standard int) int {
	if n != 0 {
		return n
	}
	return standard
}

// resolve returns the JSON of one setting: the account's value, the
// parameter's default, the template's literal, or the standard value.
func (t *Template) resolve(s setting, values map[string]json.RawMessage) json.RawMessage {
	if s.raw == nil {
		return s.standard
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

// owner is a service, or one of its targets, that claims an address or name.
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

// checkWhole refuses what no document shows by itself: an address or a name
// that stands twice. Two services that share an address would receive each
// other's packets, and two targets that share an identifier each other's flows.
func checkWhole(p *Problems, c *baobabstep.Config) {
	n := 0
	for i := range c.Services {
		n += len(c.Services[i].Targets)
	}
	addresses := make(map[netip.AddrPort]owner, n+len(c.Services))
	services := make(map[baobabstep.ServiceID]owner, len(c.Services))
	targets := make(map[baobabstep.TargetID]owner, n)
	for i := range c.Services {
		s := &c.Services[i]
		claim(p, services, s.ID, owner{s, nil}, "a name, or hash of a name, that no other service has")
		claim(p, addresses, s.Address, owner{s, nil}, "an address that nothing else has")
		for j := range s.Targets {
			t := &s.Targets[j]
			claim(p, targets, t.ID, owner{s, t}, "a name, or hash of a name, that no other target has")
			claim(p, addresses, t.Address, owner{s, t}, "an address that nothing else has")
		}
	}
}

// claim notes who has a key. Texts are made only for a clash: the check runs on
// each VM for each version.
func claim[K comparable](p *Problems, taken map[K]owner, key K, who owner, rule string) {
	if other, ok := taken[key]; ok {
		p.add(who.String(), key, "%s (taken by %v)", rule, other)
		return
	}
	taken[key] = who
}
