package rig

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// item is one key with its value, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// Store is the platform's metadata store, as far as the system calls it: reads,
// watches and transactions. It loses nothing, and its answers are linearizable, except
// to reads with staleOk, which see the content of Lag ago.
type Store struct {
	mu      sync.Mutex
	history []item
	changed chan struct{}
	// Lag is the age of what stale reads see. Set it before the first call.
	Lag time.Duration
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// firstRevision is the revision of the empty store.
const firstRevision = 100

func (s *Store) revision() uint64 { return firstRevision + uint64(len(s.history)) }

// Put writes a JSON document under a key, or removes the key if value is nil. It returns
// when the store acknowledged it.
func (s *Store) Put(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		return s.write(key, nil)
	}
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // values are maps of strings and numbers
	}
	return s.write(key, raw)
}

func (s *Store) write(key string, raw []byte) time.Time {
	now := time.Now()
	s.history = append(s.history, item{Key: key, Value: raw, Revision: s.revision() + 1, Created: s.revision() + 1, Deleted: raw == nil, at: now})
	close(s.changed)
	s.changed = make(chan struct{})
	return now
}

// itemsAt returns the items that were there at a time.
func (s *Store) itemsAt(at time.Time) map[string]item {
	items := make(map[string]item)
	for _, it := range s.history {
		switch {
		case it.at.After(at):
			return items
		case it.Deleted:
			delete(items, it.Key)
		default:
			items[it.Key] = it
		}
	}
	return items
}

// visible returns the items that a call sees.
func (s *Store) visible(r *http.Request) map[string]item {
	now := time.Now()
	if r.URL.Query().Get("staleOk") == "1" {
		now = now.Add(-s.Lag)
	}
	return s.itemsAt(now)
}

// ServeHTTP implements [http.Handler].
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/kv-key":
		s.serveKey(w, r)
	case "GET /v1/kv-range":
		s.serveRange(w, r)
	case "GET /v1/kv-watch":
		s.serveWatch(w, r)
	case "POST /v1/kv-txn":
		s.serveTxn(w, r)
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller is gone
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, found := s.visible(r)[r.URL.Query().Get("key")]
	if !found {
		answer(w, http.StatusNotFound, map[string]any{"asOf": s.revision()})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": 0, "asOf": s.revision(),
	})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items, asOf := []item{}, uint64(firstRevision)
	for key, it := range s.visible(r) {
		asOf = max(asOf, it.Revision)
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, it)
		}
	}
	if query.Get("staleOk") != "1" {
		asOf = s.revision()
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "asOf": asOf})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		events, asOf, changed := []item{}, s.revision(), s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items, state, failed := s.itemsAt(time.Now()), []item{}, false
	for _, p := range txn.Precondition {
		it, found := items[p.Key]
		failed = failed || it.Revision != p.Revision
		if found {
			state = append(state, it)
		}
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": state})
		return
	}
	for _, write := range txn.Writes {
		s.write(write.Key, write.Value)
	}
	for _, key := range txn.Remove {
		s.write(key, nil)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision()})
}
