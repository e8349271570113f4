package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/audit"
)

// maxRequest bounds the bytes of a request; an import is the largest.
const maxRequest = 64 << 20

// Options configure a [Server].
type Options struct {
	// VM is this VM's name.
	VM       string
	Keys     []Key
	Platform baobabstep.Platform
	Replica  *config.Replica
	Trail    *audit.Trail
	Node     Node
	Clock    baobabstep.Clock
	// FlowSecret is used for the first version of all.
	FlowSecret [16]byte
}

// Server is the operators' interface of one VM, an http.Handler.
type Server struct {
	o    Options
	keys *keyring
	mux  *http.ServeMux
	// newest is the newest version that a change over this VM became.
	newest atomic.Uint64
}

var _ http.Handler = (*Server)(nil)

// NewServer returns the interface; it fails with CodeSettings on a bad key.
func NewServer(o Options) (*Server, error) {
	keys, err := newKeyring(o.Keys)
	if err != nil {
		return nil, err
	}
	s := &Server{o: o, keys: keys, mux: http.NewServeMux()}
	route(s, "status", s.status)
	route(s, "explain", s.explain)
	route(s, "documents", s.documents)
	route(s, "draft", s.draft)
	route(s, "change", s.change)
	route(s, "audit", s.audit)
	route(s, "export", s.export)
	return s, nil
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// route adds one call. All are POST with a JSON query, and answer with an
// envelope whose HTTP status only says whether the call was understood.
func route[Q, A any](s *Server, name string, f func(ctx context.Context, operator string, q Q) (A, error)) {
	s.mux.HandleFunc("POST /v1/"+name, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
		if err != nil {
			http.Error(w, "the request is too large", http.StatusRequestEntityTooLarge)
			return
		}
		key, operator, err := s.keys.check(s.o.Clock.Now(), r, body)
		if err != nil {
			s.answer(w, r, Key{}, http.StatusUnauthorized, nil, err)
			return
		}
		var q Q
		if err := decode(body, &q); err != nil {
			s.answer(w, r, key, http.StatusBadRequest, nil, err)
			return
		}
		a, err := f(r.Context(), operator, q)
		s.answer(w, r, key, http.StatusOK, a, err)
	})
}

func decode(body []byte, to any) error {
	if err := json.Unmarshal(body, to); err != nil {
		return baobabstep.Errorf(baobabstep.CodeMalformed, "operator.decode", "%w", err)
	}
	return nil
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, key Key, status int, a any, err error) {
	code := baobabstep.CodeOf(err)
	e := Envelope{Code: code, Name: code.String(), VM: s.o.VM}
	if err != nil {
		e.Error = textOf(err)
	}
	if key.ID != "" {
		st := s.o.Replica.Status(s.o.Clock.Now())
		e.Version, e.CutOff = st.Version, st.Lacks
		e.Answer = config.Encode(a)
	}
	body := config.Encode(e)
	if key.ID != "" {
		w.Header().Set(headerMAC, answerMAC(key, r.Header.Get(headerNonce), status, body))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// textOf leaves out the code, which the envelope carries by itself.
func textOf(err error) string {
	var e *baobabstep.Error
	if errors.As(err, &e) {
		return e.Op + ": " + e.Err.Error()
	}
	return err.Error()
}

type nothing struct{}

func (s *Server) status(context.Context, string, nothing) (Status, error) {
	now := s.o.Clock.Now()
	s.o.Replica.RefreshStatus(now)
	return Status{Node: s.o.Node.Status(now), Replica: s.o.Replica.Status(now)}, nil
}

func (s *Server) explain(ctx context.Context, _ string, q ExplainQuery) (Explanation, error) {
	return s.o.Node.Explain(ctx, q)
}

// set returns the version in force here, or CodeIncomplete.
func (s *Server) set() (*config.Set, error) {
	if set := s.o.Replica.Set(); set != nil {
		return set, nil
	}
	return nil, baobabstep.Errorf(baobabstep.CodeIncomplete, "operator.set", "VM %s has no configuration yet", s.o.VM)
}

const (
	// ownWait is how long an edit waits for the versions accepted before it over
	// this VM, and ownLook how often it looks.
	ownWait = 2 * time.Second
	ownLook = 10 * time.Millisecond
)

// ownSet returns the version in force here once it holds what was accepted over this
// VM before.
//
// An operator drains a target and takes that back at once. Made from the version
// before the first change, the second would change nothing, and be refused.
func (s *Server) ownSet(ctx context.Context) (*config.Set, error) {
	ctx, cancel := context.WithTimeout(ctx, ownWait)
	defer cancel()
	want := s.newest.Load()
	for {
		set, err := s.set()
		if err != nil || set.Manifest.Version >= want {
			return set, err
		}
		select {
		case <-ctx.Done():
			return nil, baobabstep.Errorf(baobabstep.CodeIncomplete, "operator.set", "VM %s has version %d, want %d, which was accepted over it", s.o.VM, set.Manifest.Version, want)
		case <-time.After(ownLook):
		}
	}
}

// noteAccepted notes a version that a change over this VM became.
func (s *Server) noteAccepted(version uint64) {
	for {
		seen := s.newest.Load()
		if version <= seen || s.newest.CompareAndSwap(seen, version) {
			return
		}
	}
}

func (s *Server) documents(ctx context.Context, _ string, q DocumentQuery) ([]Document, error) {
	set, err := s.set()
	if err != nil {
		return nil, err
	}
	var out []Document
	for _, r := range set.Refs(q.Kind) {
		if q.Name != "" && q.Name != r.Name {
			continue
		}
		d := describe(set, r)
		if q.Name != "" {
			d.Document, _ = s.o.Replica.Object(r.Digest)
			d.Drafts = s.drafts(ctx, r.Name)
		}
		out = append(out, d)
	}
	if q.Name != "" && len(out) == 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeNotFound, "operator.documents", "got %v %q, want one that is in force", q.Kind, q.Name)
	}
	return out, nil
}

func describe(set *config.Set, r config.Ref) Document {
	d := Document{Kind: r.Kind, Name: r.Name, Version: r.Version}
	if r.Kind == config.ObjectTemplate {
		d.Doc = set.Template(r.Name).Doc
		d.UsedBy = set.AccountsUsing(r.Name)
		return d
	}
	a := set.Account(r.Name)
	d.Doc, d.Services = a.Doc, len(a.Services)
	for i := range a.Services {
		if svc := set.Config.Service(baobabstep.MakeServiceID(a.Name, a.Services[i].Name)); svc != nil {
			d.Targets += len(svc.Targets)
		}
	}
	return d
}

func (s *Server) audit(ctx context.Context, _ string, q AuditQuery) (AuditAnswer, error) {
	// Entries that were accepted and not copied yet are no fault, and belong
	// in the list.
	if err := s.o.Trail.CatchUp(ctx); err != nil {
		return AuditAnswer{}, err
	}
	if q.Verify {
		n, err := s.o.Trail.Verify(ctx)
		return AuditAnswer{Verified: n}, err
	}
	keep := func(e *baobabstep.AuditEntry) bool { return q.Subject == "" || hasSubject(e, q.Subject) }
	entries, err := s.o.Trail.Latest(ctx, q.After, q.Limit, keep)
	return AuditAnswer{Entries: entries}, err
}

func (s *Server) export(context.Context, string, nothing) (config.Export, error) {
	set, err := s.set()
	if err != nil {
		return config.Export{}, err
	}
	return set.Export(), nil
}
