package config

import (
	"maps"
	"slices"
	"sort"

	"baobabstep"
)

// Builder builds configurations from trees of objects. It caches decoded objects
// and rendered accounts, so that a version with one changed account decodes and
// renders little more than that account. It is not safe for concurrent use.
type Builder struct {
	objects   map[Digest]*decodedObject
	rendered  map[renderKey][]baobabstep.Service
	templates map[Digest]*Template
}

// decodedObject is one object after decoding; exactly one field is set.
type decodedObject struct {
	manifest   *Manifest
	page       *Page
	account    *Account
	quarantine []QuarantineItem
}

// renderKey identifies the rendered services of an account. They depend on the
// account and the templates that it uses, not on the version.
type renderKey struct {
	account   Digest
	templates Digest
}

// NewBuilder returns a builder with empty caches.
func NewBuilder() *Builder {
	return &Builder{
		objects: map[Digest]*decodedObject{}, templates: map[Digest]*Template{}, rendered: map[renderKey][]baobabstep.Service{},
	}
}

// Clone returns an independent builder with the same cached objects, which are
// immutable.
func (b *Builder) Clone() *Builder {
	return &Builder{objects: maps.Clone(b.objects), templates: maps.Clone(b.templates), rendered: maps.Clone(b.rendered)}
}

// Set is one version with its decoded documents.
type Set struct {
	Digest   Digest
	Manifest *Manifest
	// Config is the rendered configuration; its Digest is the manifest's.
	Config *baobabstep.Config

	refs       map[refKey]Ref
	accounts   map[string]*Account
	templates  map[string]*Template
	quarantine []QuarantineItem
	pages      map[int]Digest
}

// Build builds the version with the given manifest. If objects are missing it
// returns those instead of a set, each with its base in previous, which may be
// nil.
func (b *Builder) Build(manifest Digest, objects ObjectLookup, previous *Set) (*Set, []MissingObject, error) {
	s := &Set{Digest: manifest, refs: map[refKey]Ref{}, pages: map[int]Digest{}}
	missing, err := b.load(s, objects, previous)
	if err != nil || len(missing) > 0 {
		return nil, missing, err
	}
	err = b.render(s)
	if err != nil {
		return nil, nil, err
	}
	b.prune(s)
	return s, nil, nil
}

// decodeObject returns the decoded object, or false if it is missing.
func decodeObject[T any](b *Builder, d Digest, objects ObjectLookup, get func(*decodedObject) **T) (*T, bool, error) {
	e := b.objects[d]
	if e != nil && *get(e) != nil {
		return *get(e), true, nil
	}
	raw, ok := objects(d)
	if !ok {
		return nil, false, nil
	}
	v := new(T)
	if err := Decode(raw, v); err != nil {
		return nil, true, err
	}
	if e == nil {
		e = &decodedObject{}
		b.objects[d] = e
	}
	*get(e) = v
	return v, true, nil
}

func (b *Builder) load(s *Set, objects ObjectLookup, previous *Set) (missing []MissingObject, err error) {
	addMissing := func(d, base Digest) { missing = append(missing, MissingObject{d, base}) }
	if previous == nil {
		previous = &Set{}
	}
	var ok bool
	s.Manifest, ok, err = decodeObject(b, s.Digest, objects, func(e *decodedObject) **Manifest { return &e.manifest })
	if err != nil {
		return nil, err
	}
	if !ok {
		addMissing(s.Digest, previous.Digest)
		return missing, nil
	}
	if err := s.Manifest.check(); err != nil {
		return nil, err
	}
	for _, ref := range s.Manifest.Pages {
		page, ok, err := decodeObject(b, ref.Digest, objects, func(e *decodedObject) **Page { return &e.page })
		if err != nil {
			return nil, err
		}
		if !ok {
			addMissing(ref.Digest, previous.pages[ref.Number])
			continue
		}
		s.pages[ref.Number] = ref.Digest
		for _, r := range page.Refs {
			s.refs[r.key()] = r
		}
	}
	if q := s.Manifest.Quarantine; !q.IsZero() {
		var base Digest
		if previous.Manifest != nil {
			base = previous.Manifest.Quarantine
		}
		if err := b.loadQuarantine(s, q, objects, func() { addMissing(q, base) }); err != nil {
			return nil, err
		}
	}
	return missing, b.loadDocuments(s, objects, previous, addMissing)
}

func (b *Builder) loadQuarantine(s *Set, d Digest, objects ObjectLookup, addMissing func()) error {
	e := b.objects[d]
	if e == nil {
		raw, ok := objects(d)
		if !ok {
			addMissing()
			return nil
		}
		e = &decodedObject{}
		if err := Decode(raw, &e.quarantine); err != nil {
			return err
		}
		b.objects[d] = e
	}
	s.quarantine = e.quarantine
	return nil
}

func (b *Builder) loadDocuments(s *Set, objects ObjectLookup, previous *Set, addMissing func(d, base Digest)) error {
	s.accounts = make(map[string]*Account, len(s.refs))
	s.templates = map[string]*Template{}
	for k, r := range s.refs {
		base := previous.refs[k].Digest
		if k.kind == ObjectTemplate {
			t, ok, err := b.template(r.Digest, objects)
			if err != nil {
				return err
			}
			if !ok {
				addMissing(r.Digest, base)
				continue
			}
			s.templates[k.name] = t
			continue
		}
		a, ok, err := decodeObject(b, r.Digest, objects, func(e *decodedObject) **Account { return &e.account })
		if err != nil {
			return err
		}
		if !ok {
			addMissing(r.Digest, base)
			continue
		}
		s.accounts[k.name] = a
	}
	return nil
}

// template returns the decoded and checked template, or false if it is missing.
func (b *Builder) template(d Digest, objects ObjectLookup) (*Template, bool, error) {
	if t := b.templates[d]; t != nil {
		return t, true, nil
	}
	raw, ok := objects(d)
	if !ok {
		return nil, false, nil
	}
	var t Template
	if err := Decode(raw, &t); err != nil {
		return nil, true, err
	}
	if err := t.Check(); err != nil {
		return nil, true, err
	}
	b.templates[d] = &t
	return &t, true, nil
}

func (b *Builder) render(s *Set) error {
	c := &baobabstep.Config{Version: s.Manifest.Version, Digest: s.Digest}
	copy(c.FlowSecret[:], s.Manifest.FlowSecret)
	var p Problems
	for _, q := range s.quarantine {
		address, err := parseAddress(q.Address)
		if err != nil {
			p.add("quarantine", q.Address, addressRule)
		}
		c.Quarantine = append(c.Quarantine, baobabstep.Quarantine{Address: address, Service: q.Service, Until: q.Until})
	}
	c.Services = make([]baobabstep.Service, 0, len(s.accounts))
	for name, a := range s.accounts {
		c.Services = append(c.Services, b.renderCached(&p, a, s.refs[refKey{ObjectAccount, name}].Digest, s)...)
	}
	if err := p.toError("config.render"); err != nil {
		return err
	}
	var err error
	s.Config, err = checkAndIndex(c)
	return err
}

func (b *Builder) renderCached(p *Problems, a *Account, d Digest, s *Set) []baobabstep.Service {
	key := renderKey{account: d, templates: s.templateDigest(a)}
	if services, ok := b.rendered[key]; ok {
		return services
	}
	before := len(*p)
	services := renderAccount(p, a, s.templates)
	if len(*p) == before {
		b.rendered[key] = services
	}
	return services
}

// templateDigest returns one digest over all templates that an account uses.
func (s *Set) templateDigest(a *Account) Digest {
	var all []byte
	for i := range a.Services {
		d := s.refs[refKey{ObjectTemplate, a.Services[i].Template}].Digest
		all = append(all, d[:]...)
	}
	return MakeDigest(all)
}

// prune removes cached objects that the set does not use.
func (b *Builder) prune(s *Set) {
	used := s.reachable()
	for d := range b.objects {
		if _, ok := used[d]; !ok {
			delete(b.objects, d)
		}
	}
	for d := range b.templates {
		if _, ok := used[d]; !ok {
			delete(b.templates, d)
		}
	}
	if len(b.rendered) < 2*len(s.accounts)+maxStaleRendered {
		return
	}
	for k := range b.rendered {
		if _, ok := used[k.account]; !ok {
			delete(b.rendered, k)
		}
	}
}

// maxStaleRendered limits the rendered accounts kept beyond twice those in use.
const maxStaleRendered = 64

// reachable returns the digests of all objects of the version.
func (s *Set) reachable() map[Digest]struct{} {
	used := make(map[Digest]struct{}, len(s.refs)+len(s.pages)+2)
	used[s.Digest] = struct{}{}
	for _, d := range s.pages {
		used[d] = struct{}{}
	}
	if q := s.Manifest.Quarantine; !q.IsZero() {
		used[q] = struct{}{}
	}
	for _, r := range s.refs {
		used[r.Digest] = struct{}{}
	}
	return used
}

// Refs lists the documents of a kind by name.
func (s *Set) Refs(kind ObjectKind) []Ref {
	var out []Ref
	for k, r := range s.refs {
		if k.kind == kind {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Account returns the account called name, or nil.
func (s *Set) Account(name string) *Account { return s.accounts[name] }

// Template returns the template called name, or nil.
func (s *Set) Template(name string) *Template { return s.templates[name] }

// Ref returns the reference of a document, or false.
func (s *Set) Ref(kind ObjectKind, name string) (Ref, bool) {
	r, ok := s.refs[refKey{kind, name}]
	return r, ok
}

// AccountsUsing returns the number of accounts that use a template.
func (s *Set) AccountsUsing(template string) int {
	n := 0
	for _, a := range s.accounts {
		if slices.ContainsFunc(a.Services, func(one AccountService) bool { return one.Template == template }) {
			n++
		}
	}
	return n
}
