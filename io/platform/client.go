// Package platform is the adapter to the platform's key-value service and list
// of VMs: a client of its HTTP interface, and the reader that keeps a VM's
// configuration in step with it.
//
// The platform counts calls and has outages. So each VM gets a share of the
// fleet's budget, a waiting watch costs one call, failed calls are repeated
// late and with jitter, and after a few failures in a row the client answers
// for the platform at once until a single trial call has gone through. Writes
// are never repeated here: whether one took effect is for the caller to find
// out, by CodePlatformUnknown.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"baobabstep"
)

// Standard values of [Options].
const (
	defaultTimeout = 2 * time.Second
	// defaultFleetCalls is the budget of all VMs together, in calls a
	// second: half of what the platform takes in reads.
	defaultFleetCalls = 1000
	// defaultMaxCalls bounds one VM's share in a small fleet.
	defaultMaxCalls = 20
	// defaultBurst lets a few changes of operators pass without waiting; one
	// takes some 20 calls.
	defaultBurst = 100
	// maxAnswer bounds the bytes of an answer.
	maxAnswer = 64 << 20
)

// Options configure a [Client]. Zero values mean the defaults.
type Options struct {
	// URL is the platform's address, as "http://127.0.0.1:7000".
	URL string
	// Timeout bounds each call, beside the time that a watch waits.
	Timeout time.Duration
	// FleetCalls is the budget of the whole fleet in calls a second, MaxCalls
	// the most that one VM uses of it, and Burst what it may use at once.
	FleetCalls, MaxCalls float64
	Burst                int
	Rand                 *rand.Rand
	Clock                baobabstep.Clock
	// Transport replaces the standard one.
	Transport http.RoundTripper
	// LocalAddress, if valid, is where connections start from.
	LocalAddress net.IP
}

// Counts counts calls since the start.
type Counts struct {
	Calls       uint64 `json:"calls"`
	Failed      uint64 `json:"failed"`
	Unknown     uint64 `json:"unknown"`
	Stale       uint64 `json:"stale"`
	CircuitOpen uint64 `json:"circuit_open"`
	BudgetSpent uint64 `json:"budget_spent"`
}

// Client is a [baobabstep.Platform] over HTTP. It is safe for concurrent use.
type Client struct {
	o       Options
	http    *http.Client
	limiter *rate.Limiter
	circuit *circuit
	seen    seen

	calls, failed, unknown, stale, open, spent atomic.Uint64
}

var _ baobabstep.Platform = (*Client)(nil)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// NewClient returns a client. Close frees its connections.
func NewClient(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.FleetCalls == 0 {
		o.FleetCalls = defaultFleetCalls
	}
	if o.MaxCalls == 0 {
		o.MaxCalls = defaultMaxCalls
	}
	if o.Burst == 0 {
		o.Burst = defaultBurst
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Clock == nil {
		o.Clock = wallClock{}
	}
	if o.Transport == nil {
		dialer := &net.Dialer{Timeout: o.Timeout}
		if o.LocalAddress != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: o.LocalAddress}
		}
		o.Transport = &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	return &Client{
		o: o, http: &http.Client{Transport: o.Transport},
		limiter: rate.NewLimiter(rate.Limit(o.MaxCalls), o.Burst),
		circuit: newCircuit(o.Rand),
		seen:    seen{keys: map[string]uint64{}},
	}
}

// SetFleetSize gives this VM its share of the fleet's budget.
func (c *Client) SetFleetSize(vms int) {
	share := c.o.FleetCalls / float64(max(vms, 1))
	c.limiter.SetLimit(rate.Limit(min(c.o.MaxCalls, share)))
	c.circuit.setFleetSize(vms)
}

// Counts returns what has been counted so far.
func (c *Client) Counts() Counts {
	return Counts{
		Calls: c.calls.Load(), Failed: c.failed.Load(), Unknown: c.unknown.Load(),
		Stale: c.stale.Load(), CircuitOpen: c.open.Load(), BudgetSpent: c.spent.Load(),
	}
}

// Era returns the era of the platform's store, by its last answer: revisions of
// another one say nothing.
func (c *Client) Era() uint64 { return c.seen.currentEra() }

// Close frees idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (baobabstep.KeyValue, error) {
	const op = "platform.get"
	var a KeyAnswer
	err := c.call(ctx, op, callRead, 0, http.MethodGet, PathKey+"?key="+url.QueryEscape(key), nil, &a)
	if baobabstep.CodeOf(err) == baobabstep.CodeNotFound {
		if !c.seen.absent(key, a.StoreRevision) {
			return baobabstep.KeyValue{}, c.staleError(op, key)
		}
		return baobabstep.KeyValue{}, err
	}
	if err != nil {
		return baobabstep.KeyValue{}, err
	}
	if !c.seen.fresh(key, a.KeyValue.Revision) {
		return baobabstep.KeyValue{}, c.staleError(op, key)
	}
	return a.KeyValue, nil
}

func (c *Client) staleError(op, key string) error {
	c.stale.Add(1)
	return baobabstep.Errorf(baobabstep.CodePlatformUnavailable, op, "got an answer for %s that is older than one seen before", key)
}

// Put writes one key by compare-and-swap.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	body, err := json.Marshal(PutRequest{Key: key, Value: value, Expected: expected})
	if err != nil {
		return 0, baobabstep.Errorf(baobabstep.CodeInternal, "platform.put", "%w", err)
	}
	var a PutAnswer
	if err := c.call(ctx, "platform.put", callWrite, 0, http.MethodPut, PathKey, body, &a); err != nil {
		return 0, err
	}
	c.seen.note(key, a.Revision)
	return a.Revision, nil
}

// List returns the values whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]baobabstep.KeyValue, error) {
	const op = "platform.list"
	var a ListAnswer
	if err := c.call(ctx, op, callRead, 0, http.MethodGet, PathList+"?prefix="+url.QueryEscape(prefix), nil, &a); err != nil {
		return nil, err
	}
	if !c.seen.list(prefix, a.Values, a.StoreRevision) {
		return nil, c.staleError(op, prefix)
	}
	return a.Values, nil
}

// Watch waits for a change under prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]baobabstep.KeyValue, error) {
	if c.circuit.open() {
		// The call that tries whether the platform is back must not wait:
		// until it is answered all others are refused.
		wait = 0
	}
	q := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	const op = "platform.watch"
	era := c.seen.currentEra()
	var a ListAnswer
	if err := c.call(ctx, op, callRead, wait, http.MethodGet, PathWatch+"?"+q.Encode(), nil, &a); err != nil {
		return nil, err
	}
	if now := c.seen.currentEra(); now != era {
		return nil, baobabstep.Errorf(baobabstep.CodeCompacted, op, "got era %d, want %d", now, era)
	}
	out := a.Values[:0]
	for _, v := range a.Values {
		if v.Revision > after && c.seen.fresh(v.Key, v.Revision) {
			out = append(out, v)
			continue
		}
		c.stale.Add(1)
	}
	return out, nil
}

// Lease grants or renews a lease.
func (c *Client) Lease(ctx context.Context, name, holder string, ttl time.Duration) (uint64, error) {
	body, err := json.Marshal(LeaseRequest{Name: name, Holder: holder, TTLMS: ttl.Milliseconds()})
	if err != nil {
		return 0, baobabstep.Errorf(baobabstep.CodeInternal, "platform.lease", "%w", err)
	}
	var a LeaseAnswer
	err = c.call(ctx, "platform.lease", callWrite, 0, http.MethodPost, PathLease, body, &a)
	return a.Fencing, err
}

// VMs returns the platform's list.
func (c *Client) VMs(ctx context.Context) ([]baobabstep.VM, error) {
	var lines []VM
	if err := c.call(ctx, "platform.vms", callRead, 0, http.MethodGet, PathVMs, nil, &lines); err != nil {
		return nil, err
	}
	out := make([]baobabstep.VM, 0, len(lines))
	for _, l := range lines {
		out = append(out, l.VM())
	}
	return out, nil
}

type callKind bool

const (
	callRead  callKind = false
	callWrite callKind = true
)

// call makes one call within the budget, the circuit and the timeout.
func (c *Client) call(ctx context.Context, op string, kind callKind, wait time.Duration, method, path string, body []byte, to any) error {
	if !c.circuit.allow(c.o.Clock.Now()) {
		c.open.Add(1)
		return baobabstep.Errorf(baobabstep.CodePlatformUnavailable, op, "the platform failed %d calls in a row; the next trial is due later", openAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout+wait)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		c.circuit.release()
		if ctx.Err() != nil {
			return baobabstep.Errorf(baobabstep.CodePlatformUnavailable, op, "%w", err)
		}
		c.spent.Add(1)
		return baobabstep.Errorf(baobabstep.CodeBudgetSpent, op, "%w", err)
	}
	c.calls.Add(1)
	err := c.exchange(ctx, op, kind, method, path, body, to)
	code := baobabstep.CodeOf(err)
	down := code == baobabstep.CodePlatformUnavailable || code == baobabstep.CodePlatformUnknown
	if down && ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		// The caller gave up, which says nothing about the platform.
		c.circuit.release()
		return err
	}
	c.circuit.report(c.o.Clock.Now(), !down)
	if down {
		c.failed.Add(1)
	}
	if code == baobabstep.CodePlatformUnknown {
		c.unknown.Add(1)
	}
	return err
}

func (c *Client) exchange(ctx context.Context, op string, kind callKind, method, path string, body []byte, to any) error {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.o.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodeSettings, op, "%w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return lost(kind, op, err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return lost(kind, op, err)
	}
	if err := c.enterEra(op, res.Header); err != nil {
		return lost(kind, op, err)
	}
	if err := statusError(kind, op, res.StatusCode, data); err != nil {
		if res.StatusCode == http.StatusNotFound {
			// The revision of the store tells how old the answer is.
			_ = json.Unmarshal(data, to)
		}
		return err
	}
	if err := json.Unmarshal(data, to); err != nil {
		return lost(kind, op, err)
	}
	return nil
}

// enterEra notes the era of an answer. Errors: CodePlatformUnavailable for one of
// before a restore, which comes from a machine that lags.
func (c *Client) enterEra(op string, header http.Header) error {
	text := header.Get(HeaderEra)
	if text == "" {
		return nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodeMalformed, op, "got era %.20q, want a whole number", text)
	}
	if !c.seen.enter(era) {
		return c.staleError(op, "era "+text)
	}
	return nil
}

// lost tells whether a call that got no answer may have taken effect. A read
// has no effect, and a connection that was never made carried nothing.
func lost(kind callKind, op string, err error) error {
	var dial *net.OpError
	if kind == callRead || errors.As(err, &dial) && dial.Op == "dial" {
		return baobabstep.Errorf(baobabstep.CodePlatformUnavailable, op, "%w", err)
	}
	return baobabstep.Errorf(baobabstep.CodePlatformUnknown, op, "%w", err)
}

func statusError(kind callKind, op string, status int, body []byte) error {
	if status/100 == 2 {
		return nil
	}
	var a ErrorAnswer
	if json.Unmarshal(body, &a) != nil || a.Error == "" {
		a.Error = http.StatusText(status)
	}
	return baobabstep.Errorf(statusCode(kind, status), op, "got status %d: %s", status, a.Error)
}

func statusCode(kind callKind, status int) baobabstep.Code {
	switch status {
	case http.StatusNotFound:
		return baobabstep.CodeNotFound
	case http.StatusConflict:
		return baobabstep.CodeConflict
	case http.StatusGone:
		return baobabstep.CodeCompacted
	case http.StatusRequestEntityTooLarge:
		return baobabstep.CodeTooLarge
	case http.StatusBadRequest:
		return baobabstep.CodeInvalid
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusForbidden, http.StatusUnauthorized:
		// The platform said that it did not take the call.
		return baobabstep.CodePlatformUnavailable
	}
	if kind == callWrite {
		return baobabstep.CodePlatformUnknown
	}
	return baobabstep.CodePlatformUnavailable
}

// maxSeen bounds the keys whose revisions are remembered.
const maxSeen = 1 << 16

// seen remembers the greatest revision met, for each key and for the store, in the
// store's era. A platform of several machines may answer from one that lags; applying
// that answer would undo what a later one brought.
type seen struct {
	mu   sync.Mutex
	era  uint64
	keys map[string]uint64
}

// enter notes the era of an answer. It returns false for one that has ended: the
// revisions of a later one say nothing of it.
func (s *seen) enter(era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era > s.era {
		s.era = era
		clear(s.keys)
	}
	return era == s.era
}

func (s *seen) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *seen) note(key string, revision uint64) { s.fresh(key, revision) }

func (s *seen) fresh(key string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshLocked(key, revision)
}

func (s *seen) freshLocked(key string, revision uint64) bool {
	if revision < s.keys[key] {
		return false
	}
	if len(s.keys) >= maxSeen {
		clear(s.keys)
	}
	s.keys[key] = revision
	return true
}

// absent says whether "no such key" can be believed: not from a store that has
// not reached the revision at which the key was seen.
func (s *seen) absent(key string, store uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return store >= s.keys[key]
}

func (s *seen) list(prefix string, values []baobabstep.KeyValue, store uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, revision := range s.keys {
		if revision > store && strings.HasPrefix(key, prefix) {
			return false
		}
	}
	for _, v := range values {
		if !s.freshLocked(v.Key, v.Revision) {
			return false
		}
	}
	return true
}

// String names the platform for logs.
func (c *Client) String() string { return fmt.Sprintf("platform %s", c.o.URL) }
