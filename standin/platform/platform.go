// Package platform stands in for the platform's key-value service and list of
// VMs: keys with compare-and-swap, waiting watches, leases and compaction over
// HTTP, and the faults that the real one has. It keeps everything in memory.
package platform

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"baobabstep"
	wire "baobabstep/io/platform"
)

const (
	// maxValue is the greatest size of a value.
	maxValue = 1 << 20
	// defaultKept is the number of revisions kept for watches.
	defaultKept = 1024
)

// Options configure a [Platform]. Zero values mean the defaults.
type Options struct {
	Clock baobabstep.Clock
	// Kept is the number of revisions that a watch can go back.
	Kept int
	// VMLag is how long a change of the list of VMs stays invisible.
	VMLag time.Duration
	// Latency is added to each call.
	Latency time.Duration
}

// Platform is the stand-in's state and its http.Handler.
type Platform struct {
	o   Options
	mux *http.ServeMux

	mu sync.Mutex
	// era counts how often the store came back from a backup.
	era      uint64
	revision uint64
	keys     map[string]baobabstep.KeyValue
	// changes are the latest writes, oldest first; those up to compacted
	// have been forgotten.
	changes   []baobabstep.KeyValue
	compacted uint64
	// changed is closed and replaced at each write.
	changed chan struct{}
	leases  map[string]lease
	lists   []vmList
	faults  Faults
	refused map[string]bool
	// loseNext is the number of writes whose answers will be lost.
	loseNext int
	stats    Stats
	// window holds the times of the calls of the last second.
	window []time.Time
}

type lease struct {
	holder  string
	fencing uint64
	until   time.Time
}

type vmList struct {
	at  time.Time
	vms []wire.VM
}

// Stats counts calls since the start.
type Stats struct {
	Calls       uint64            `json:"calls"`
	Reads       uint64            `json:"reads"`
	Writes      uint64            `json:"writes"`
	Watches     uint64            `json:"watches"`
	Refused     uint64            `json:"refused"`
	LostAnswers uint64            `json:"lost_answers"`
	BySource    map[string]uint64 `json:"by_source"`
	BytesOut    uint64            `json:"bytes_out"`
	Keys        int               `json:"keys"`
	Revision    uint64            `json:"revision"`
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

var _ http.Handler = (*Platform)(nil)

// New returns an empty platform.
func New(o Options) *Platform {
	if o.Clock == nil {
		o.Clock = wallClock{}
	}
	if o.Kept == 0 {
		o.Kept = defaultKept
	}
	p := &Platform{
		o: o, mux: http.NewServeMux(), keys: map[string]baobabstep.KeyValue{}, changed: make(chan struct{}),
		leases: map[string]lease{}, refused: map[string]bool{}, stats: Stats{BySource: map[string]uint64{}},
	}
	p.mux.HandleFunc("GET "+wire.PathKey, p.call(p.get))
	p.mux.HandleFunc("PUT "+wire.PathKey, p.call(p.put))
	p.mux.HandleFunc("GET "+wire.PathList, p.call(p.list))
	p.mux.HandleFunc("GET "+wire.PathWatch, p.call(p.watch))
	p.mux.HandleFunc("POST "+wire.PathLease, p.call(p.lease))
	p.mux.HandleFunc("GET "+wire.PathVMs, p.call(p.getVMs))
	p.mux.HandleFunc("PUT "+wire.PathVMs, p.putVMs)
	p.mux.HandleFunc("POST /fault", p.postFault)
	p.mux.HandleFunc("GET /fault", p.getFault)
	p.mux.HandleFunc("GET /stats", p.getStats)
	return p
}

// Backup is what the store held at a moment.
type Backup struct {
	revision, compacted uint64
	keys                map[string]baobabstep.KeyValue
	changes             []baobabstep.KeyValue
}

// Backup returns what the store holds now.
func (p *Platform) Backup() *Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Backup{revision: p.revision, compacted: p.compacted, keys: maps.Clone(p.keys), changes: slices.Clone(p.changes)}
}

// Restore brings the store back from a backup: what was written since is gone, leases
// as well, and revisions are given out again.
func (p *Platform) Restore(b *Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.revision, p.compacted = b.revision, b.compacted
	p.keys, p.changes = maps.Clone(b.keys), slices.Clone(b.changes)
	clear(p.leases)
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP serves the platform's interface and the stand-in's own.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// reply is an answer before it is sent.
type reply struct {
	status int
	body   any
	// lost drops the connection instead of answering.
	lost bool
}

func failure(status int, text string) reply {
	return reply{status: status, body: wire.ErrorAnswer{Error: text}}
}

func success(body any) reply { return reply{status: http.StatusOK, body: body} }

func (p *Platform) get(r *http.Request) reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	key := r.URL.Query().Get("key")
	kv, ok := p.keys[key]
	if !ok {
		return reply{status: http.StatusNotFound, body: wire.KeyAnswer{StoreRevision: p.revision}}
	}
	return success(wire.KeyAnswer{KeyValue: kv, StoreRevision: p.revision})
}

func (p *Platform) put(r *http.Request) reply {
	var q wire.PutRequest
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, 2*maxValue)).Decode(&q); err != nil || q.Key == "" {
		return failure(http.StatusBadRequest, "not a write of a key")
	}
	if len(q.Value) > maxValue {
		return failure(http.StatusRequestEntityTooLarge, "a value holds at most a megabyte")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	if p.keys[q.Key].Revision != q.Expected {
		return failure(http.StatusConflict, "the key has another revision")
	}
	p.write(q.Key, q.Value)
	a := success(wire.PutAnswer{Revision: p.revision})
	a.lost = p.loseAnswer()
	return a
}

// write stores a value; an empty one removes the key.
func (p *Platform) write(key string, value []byte) {
	p.revision++
	kv := baobabstep.KeyValue{Key: key, Value: value, Revision: p.revision}
	if len(value) == 0 {
		delete(p.keys, key)
	} else {
		p.keys[key] = kv
	}
	p.changes = append(p.changes, kv)
	if n := len(p.changes) - p.o.Kept; n > 0 {
		p.compactTo(p.changes[n-1].Revision)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) compactTo(revision uint64) {
	n := sort.Search(len(p.changes), func(i int) bool { return p.changes[i].Revision > revision })
	p.changes = append(p.changes[:0:0], p.changes[n:]...)
	p.compacted = max(p.compacted, revision)
}

func (p *Platform) list(r *http.Request) reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	return success(wire.ListAnswer{Values: p.underLocked(r.URL.Query().Get("prefix")), StoreRevision: p.revision})
}

func (p *Platform) underLocked(prefix string) []baobabstep.KeyValue {
	out := []baobabstep.KeyValue{}
	for key, kv := range p.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (p *Platform) watch(r *http.Request) reply {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		return failure(http.StatusBadRequest, "after and wait_ms must be numbers")
	}
	p.mu.Lock()
	p.stats.Watches++
	p.mu.Unlock()
	source, _, _ := net.SplitHostPort(r.RemoteAddr)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		values, gone, changed, down := p.changesAfter(source, q.Get("prefix"), after)
		switch {
		case down:
			return reply{lost: true}
		case gone:
			return failure(http.StatusGone, "the revision was compacted")
		case len(values) > 0:
			return success(wire.ListAnswer{Values: values, StoreRevision: p.storeRevision()})
		}
		select {
		case <-changed:
		case <-timer.C:
			return success(wire.ListAnswer{Values: []baobabstep.KeyValue{}, StoreRevision: p.storeRevision()})
		case <-r.Context().Done():
			return reply{lost: true}
		}
	}
}

func (p *Platform) storeRevision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

func (p *Platform) changesAfter(source, prefix string, after uint64) (values []baobabstep.KeyValue, gone bool, changed <-chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := map[string]int{}
	for _, kv := range p.changes {
		if kv.Revision <= after || !strings.HasPrefix(kv.Key, prefix) {
			continue
		}
		if i, ok := last[kv.Key]; ok {
			values[i] = kv
			continue
		}
		last[kv.Key] = len(values)
		values = append(values, kv)
	}
	return values, after < p.compacted || after > p.revision, p.changed, p.faults.Outage || p.refused[source]
}

func (p *Platform) lease(r *http.Request) reply {
	var q wire.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.Name == "" || q.Holder == "" {
		return failure(http.StatusBadRequest, "not a request for a lease")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	now := p.o.Clock.Now()
	l := p.leases[q.Name]
	if l.holder != q.Holder && now.Before(l.until) {
		return failure(http.StatusConflict, "another holds the lease")
	}
	if l.holder != q.Holder || now.After(l.until) {
		p.revision++
		l = lease{holder: q.Holder, fencing: p.revision}
	}
	l.until = now.Add(time.Duration(q.TTLMS) * time.Millisecond)
	p.leases[q.Name] = l
	a := success(wire.LeaseAnswer{Fencing: l.fencing})
	a.lost = p.loseAnswer()
	return a
}

func (p *Platform) getVMs(*http.Request) reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	now := p.o.Clock.Now()
	vms := []wire.VM{}
	if p.faults.StaleVMs {
		return success(p.faults.vms)
	}
	for _, l := range p.lists {
		if now.Sub(l.at) >= p.vmLag() {
			vms = l.vms
		}
	}
	return success(vms)
}

func (p *Platform) vmLag() time.Duration {
	if p.faults.VMLagMS > 0 {
		return time.Duration(p.faults.VMLagMS) * time.Millisecond
	}
	return p.o.VMLag
}

// maxLists bounds the former lists of VMs that are kept.
const maxLists = 64

// SetVMs replaces the list; it shows after the lag.
func (p *Platform) SetVMs(vms []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, vmList{p.o.Clock.Now(), vms})
	if len(p.lists) > maxLists {
		p.lists = append(p.lists[:0:0], p.lists[1:]...)
	}
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []wire.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorAnswer{Error: err.Error()})
		return
	}
	p.SetVMs(vms)
	writeJSON(w, http.StatusOK, struct{}{})
}

// Stats returns the counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.BySource = make(map[string]uint64, len(p.stats.BySource))
	for k, v := range p.stats.BySource {
		s.BySource[k] = v
	}
	s.Keys = len(p.keys)
	s.Revision = p.revision
	return s
}

func (p *Platform) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Stats())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
