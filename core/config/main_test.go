package config_test

import (
	"container/heap"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "25")
	}
	os.Exit(m.Run())
}

var testStart = time.Date(2026, 3, 7, 6, 0, 0, 0, time.UTC)

// store is an in-memory platform. Hooks inject faults per call.
type store struct {
	revision uint64
	keys     map[string]baobabstep.KeyValue
	down     bool
	// onPut, if set, decides whether a write takes effect and with which code
	// it is answered.
	onPut func(key string) (takesEffect bool, code baobabstep.Code)
	puts  int
	gets  int
	bytes int
}

func newStore() *store { return &store{keys: map[string]baobabstep.KeyValue{}} }

func codeError(code baobabstep.Code) error {
	if code == baobabstep.CodeOK {
		return nil
	}
	return baobabstep.Errorf(code, "store", "got a fault, want none")
}

func (s *store) get(key string) (baobabstep.KeyValue, error) {
	s.gets++
	if s.down {
		return baobabstep.KeyValue{}, codeError(baobabstep.CodePlatformUnavailable)
	}
	kv, ok := s.keys[key]
	if !ok {
		return kv, codeError(baobabstep.CodeNotFound)
	}
	s.bytes += len(kv.Value)
	return kv, nil
}

func (s *store) put(key string, value []byte, expected uint64) (uint64, error) {
	s.puts++
	if s.down {
		return 0, codeError(baobabstep.CodePlatformUnavailable)
	}
	takes, code := true, baobabstep.CodeOK
	if s.onPut != nil {
		takes, code = s.onPut(key)
	}
	if takes {
		if s.keys[key].Revision != expected {
			return 0, codeError(baobabstep.CodeConflict)
		}
		s.revision++
		s.keys[key] = baobabstep.KeyValue{Key: key, Value: value, Revision: s.revision}
	}
	return s.revision, codeError(code)
}

// accept runs the accept of a change against the store.
func (s *store) accept(now time.Time, c config.Change, o config.AcceptOptions) config.Result {
	return s.run(now, config.NewAccept(c, o))
}

func (s *store) run(now time.Time, a *config.Accept) config.Result {
	for step := a.Start(); step.Kind != config.StepDone; {
		step = s.step(now, a, step)
	}
	return a.Result()
}

func (s *store) step(now time.Time, a *config.Accept, step config.Step) config.Step {
	var answer config.Answer
	if step.Kind == config.StepGet {
		answer.KeyValue, answer.Err = s.get(step.Key)
	} else {
		answer.Revision, answer.Err = s.put(step.Key, step.Value, step.Expected)
	}
	return a.Next(now, answer)
}

// snapshot reads from the store what a reader would pass to the replica.
func (s *store) snapshot(r *config.Replica) (config.Snapshot, bool) {
	kv, err := s.get(config.HeadKey)
	if err != nil {
		return config.Snapshot{}, false
	}
	out := config.Snapshot{Head: kv.Value, Objects: map[config.Digest][]byte{}}
	for {
		missing, err := r.MissingObjects(kv.Value, out.Objects)
		if err != nil || len(missing) == 0 {
			return out, err == nil
		}
		for _, m := range missing {
			object, err := s.get(config.ObjectKey(m.Digest))
			if err != nil {
				return out, false
			}
			out.Objects[m.Digest] = object.Value
		}
	}
}

// testTemplate is a template with few parameters.
func testTemplate() *config.Template {
	raw := func(s string) json.RawMessage { return json.RawMessage(s) }
	return &config.Template{
		Format: 1, Name: "plain", SchemaVersion: 1, Doc: "for tests",
		Parameters: []config.Parameter{
			{Name: "address", Type: config.TypeAddress, Doc: "where callers reach it"},
			{Name: "targets", Type: config.TypeTargetList, Doc: "what serves it"},
			{Name: "queue_limit", Type: config.TypeInteger, Doc: "length of the queue", Default: raw("8"), Min: raw("0"), Max: raw("100")},
			{Name: "max_timeout", Type: config.TypeDuration, Doc: "longest time", Default: raw(`"10s"`), Min: raw(`"1s"`), Max: raw(`"1m"`)},
		},
		Service: config.ServiceTemplate{
			Address: raw(`"$address"`), DataCentres: raw(`["a","b","c"]`), Targets: raw(`"$targets"`),
			QueueLimit: raw(`"$queue_limit"`), MaxTimeout: raw(`"$max_timeout"`),
		},
	}
}

// testAccount returns an account with one service; number makes its names and
// addresses unique.
func testAccount(number, targets int) *config.Account {
	list := make([]config.TargetValue, targets)
	for i := range list {
		list[i] = config.TargetValue{
			Name: fmt.Sprintf("t-%d-%d", number, i), DataCentre: string(rune('a' + i%3)),
			Address: fmt.Sprintf("127.%d.%d.%d:%d", 100+number>>8, number&255, 1+i%250, 9000+i/250),
		}
	}
	return &config.Account{
		Format: 1, Name: accountName(number), Doc: "for tests",
		Services: []config.AccountService{{
			Name: "main", Template: "plain", Values: map[string]json.RawMessage{
				"address": json.RawMessage(fmt.Sprintf(`"127.%d.%d.0:7000"`, 50+number>>8, number&255)),
				"targets": config.Encode(list),
			},
		}},
	}
}

func accountName(number int) string { return fmt.Sprintf("account-%d", number) }

// firstChange returns the change that creates the template and the accounts.
func firstChange(accounts, targets int) config.Change {
	c := config.Change{ID: "first", Operator: "ana", Reason: "set up", Action: "config import"}
	c.Edits = append(c.Edits, config.Edit{Kind: config.ObjectTemplate, Name: "plain", Document: config.Encode(testTemplate())})
	for i := range accounts {
		c.Edits = append(c.Edits, config.Edit{Kind: config.ObjectAccount, Name: accountName(i), Document: config.Encode(testAccount(i, targets))})
	}
	return c
}

// queueChange returns a change of the queue limit of an account.
func queueChange(id string, number, targets, from, to int) config.Change {
	return config.Change{ID: id, Operator: "ana", Reason: "tune", Action: "account accept", Edits: []config.Edit{{
		Kind: config.ObjectAccount, Name: accountName(number),
		Base:     config.Encode(withQueue(testAccount(number, targets), from)),
		Document: config.Encode(withQueue(testAccount(number, targets), to)),
	}}}
}

func withQueue(a *config.Account, limit int) *config.Account {
	if limit >= 0 {
		a.Services[0].Values["queue_limit"] = json.RawMessage(fmt.Sprint(limit))
	}
	return a
}

func mustAccept(c *qt.C, s *store, change config.Change) config.Result {
	c.Helper()
	res := s.accept(testStart, change, config.AcceptOptions{})
	c.Assert(res.Err, qt.IsNil)
	return res
}

// fleet is a set of replicas on a virtual clock, connected by a network that
// delays, loses, duplicates and reorders messages.
type fleet struct {
	now       time.Time
	vms       []baobabstep.VM
	replicas  map[baobabstep.VMID]*config.Replica
	queue     queue
	rand      *rand.Rand
	store     *store
	lossShare float64
	// corrupt is the share of messages with one changed byte.
	corrupt float64
	// rate and burst replace the default send budget of VMs started from now on.
	rate, burst int
	// onMessage, if set, is called with each message sent.
	onMessage func(body []byte)
	// cut reports whether two VMs cannot reach each other or, if to is 0,
	// whether a VM cannot reach the platform.
	cut      func(from, to baobabstep.VMID) bool
	versions map[baobabstep.VMID]uint64
	// handled is the store's revision that a reader last read.
	handled  map[baobabstep.VMID]uint64
	reverted int
	violated []string
	sent     map[baobabstep.VMID]int
	messages int
}

type delivery struct {
	at       time.Time
	from, to baobabstep.VMID
	body     []byte
}

// queue is a heap of the messages in flight, the earliest delivery first.
type queue []delivery

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// tick is the step of the virtual clock.
const tick = 100 * time.Millisecond

// newFleet starts perCentre VMs in each of the data centres a, b, ...
func newFleet(centres, perCentre int, s *store) *fleet {
	f := &fleet{
		now: testStart, replicas: map[baobabstep.VMID]*config.Replica{}, rand: rand.New(rand.NewPCG(1, 2)), store: s,
		versions: map[baobabstep.VMID]uint64{}, handled: map[baobabstep.VMID]uint64{}, sent: map[baobabstep.VMID]int{},
	}
	for d := range centres {
		for i := range perCentre {
			name := fmt.Sprintf("vm-%c-%d", 'a'+d, i)
			f.vms = append(f.vms, baobabstep.VM{ID: baobabstep.MakeVMID(name), Name: name, DataCentre: string(rune('a' + d))})
		}
	}
	for i := range f.vms {
		f.start(f.vms[i].ID)
	}
	return f
}

// start replaces a VM by one without a configuration.
func (f *fleet) start(id baobabstep.VMID) {
	for _, vm := range f.vms {
		if vm.ID != id {
			continue
		}
		r := config.NewReplica(f.now, config.ReplicaOptions{
			Self: vm, Rand: rand.New(rand.NewPCG(uint64(id), 7)), BytesPerSecond: f.rate, Burst: f.burst,
			OnViolation: func(invariant, detail string) { f.violated = append(f.violated, invariant+": "+detail) },
		})
		r.SetFleet(f.now, f.vms)
		f.replicas[id] = r
		f.versions[id], f.handled[id] = 0, 0
	}
}

func (f *fleet) isCut(from, to baobabstep.VMID) bool { return f.cut != nil && f.cut(from, to) }

func (f *fleet) send(from baobabstep.VMID, outs []config.Out) {
	for _, o := range outs {
		f.sent[from] += len(o.Body)
		f.messages++
		if f.onMessage != nil {
			f.onMessage(o.Body)
		}
		if f.isCut(from, o.To) || f.rand.Float64() < f.lossShare {
			continue
		}
		if f.rand.Float64() < f.corrupt {
			o.Body = slices.Clone(o.Body)
			o.Body[f.rand.IntN(len(o.Body))] ^= byte(1 + f.rand.IntN(255))
		}
		delay := time.Duration(1+f.rand.IntN(3)) * time.Millisecond
		if f.rand.Float64() < f.lossShare {
			heap.Push(&f.queue, delivery{f.now.Add(delay + 300*time.Millisecond), from, o.To, o.Body})
		}
		heap.Push(&f.queue, delivery{f.now.Add(delay), from, o.To, o.Body})
	}
}

// step advances the clock by one tick.
func (f *fleet) step() {
	end := f.now.Add(tick)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		d := heap.Pop(&f.queue).(delivery)
		if d.at.After(f.now) {
			f.now = d.at
		}
		if r := f.replicas[d.to]; r != nil && !f.isCut(d.from, d.to) {
			f.send(d.to, r.Handle(f.now, d.from, d.body))
		}
	}
	f.now = end
	for _, vm := range f.vms {
		r := f.replicas[vm.ID]
		if r == nil {
			continue
		}
		f.send(vm.ID, r.Tick(f.now))
		f.pollPlatform(vm.ID, r)
		f.checkVersion(vm.ID, r)
	}
}

// pollPlatform passes the store's version to a reader, as its watch of the
// platform does.
func (f *fleet) pollPlatform(id baobabstep.VMID, r *config.Replica) {
	if f.store.down || f.isCut(id, 0) || !r.Reader(f.now) {
		return
	}
	r.PlatformAnswered(f.now)
	if c := r.Current(); c != nil && f.handled[id] == f.store.revision {
		return
	}
	if s, ok := f.store.snapshot(r); ok {
		f.handled[id] = f.store.revision
		f.send(id, r.HandleSnapshot(f.now, s))
	}
}

// checkVersion counts a VM whose version decreased.
func (f *fleet) checkVersion(id baobabstep.VMID, r *config.Replica) {
	c := r.Current()
	if c == nil {
		return
	}
	if c.Version < f.versions[id] {
		f.reverted++
	}
	f.versions[id] = c.Version
}

// run advances the clock until all VMs have the version, at most by d, and returns
// how long it took.
func (f *fleet) run(d time.Duration, version uint64) (time.Duration, bool) {
	start := f.now
	for f.now.Sub(start) < d {
		if f.allHave(version) {
			return f.now.Sub(start), true
		}
		f.step()
	}
	return f.now.Sub(start), f.allHave(version)
}

func (f *fleet) allHave(version uint64) bool {
	for _, r := range f.replicas {
		if c := r.Current(); c == nil || c.Version < version {
			return false
		}
	}
	return true
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func assertNoReverts(c *qt.C, f *fleet) {
	c.Helper()
	c.Assert(f.violated, qt.HasLen, 0)
	c.Assert(f.reverted, qt.Equals, 0)
}

func assertInForce(c *qt.C, f *fleet, within time.Duration, version uint64) time.Duration {
	c.Helper()
	took, ok := f.run(within, version)
	c.Assert(ok, qt.IsTrue, qt.Commentf("version %d not in force everywhere within %v: %v", version, within, f.versions))
	assertNoReverts(c, f)
	return took
}
