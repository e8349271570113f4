package audit_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/audit"
	"baobabstep/io/platform"
	standin "baobabstep/standin/platform"
)

// trailOf accepts n changes on a new platform and copies the last.
func trailOf(c *qt.C, n, segments int) (*platform.Client, *standin.Platform, *audit.Trail) {
	c.Helper()
	p := standin.New(standin.Options{})
	server := httptest.NewServer(p)
	c.Cleanup(server.Close)
	client := platform.NewClient(platform.Options{URL: server.URL, MaxCalls: 1e6, Burst: 1e6})
	c.Cleanup(client.Close)
	export, err := platform.LoadExport("../../examples/tas-south")
	c.Assert(err, qt.IsNil)
	ctx := c.Context()
	for i := range n {
		export.Accounts[0] = json.RawMessage(strings.Replace(string(export.Accounts[0]), `"doc": "`, fmt.Sprintf(`"doc": "%d`, i), 1))
		res := platform.Import(ctx, client, export, config.Change{ID: fmt.Sprint(i), Operator: "ana", Reason: "test", Action: "config import"})
		c.Assert(res.Err, qt.IsNil)
	}
	t := audit.NewTrail(client, segments)
	c.Assert(t.CatchUp(ctx), qt.IsNil)
	return client, p, t
}

func edit(c *qt.C, client *platform.Client, segment int, f func(*audit.Segment)) {
	c.Helper()
	key := fmt.Sprintf("audit/segment/%012d", segment)
	kv, err := client.Get(c.Context(), key)
	c.Assert(err, qt.IsNil)
	var s audit.Segment
	c.Assert(json.Unmarshal(kv.Value, &s), qt.IsNil)
	f(&s)
	_, err = client.Put(c.Context(), key, config.Encode(s), kv.Revision)
	c.Assert(err, qt.IsNil)
}

// TestVerify: somebody with access to the store changes the trail. The operator
// who verifies it is told which entry is wrong, since each names the hash of the
// one before and the last is part of the version in force.
func TestVerify(t *testing.T) {
	for _, one := range []struct {
		name string
		text string
		f    func(*audit.Segment)
	}{
		{"untouched", "", func(*audit.Segment) {}},
		{"changed", "entry 2 was changed", func(s *audit.Segment) { s.Entries[1].Operator = "rui" }},
		{"changed with its hash", "entry 3 names", func(s *audit.Segment) {
			s.Entries[1].Operator = "rui"
			s.Entries[1].Hash = config.EntryHash(s.Entries[1])
		}},
		{"missing", "entry 3 follows entry 1", func(s *audit.Segment) { s.Entries = append(s.Entries[:1], s.Entries[2:]...) }},
		{"reordered", "entry 3 follows entry 1", func(s *audit.Segment) { s.Entries[1], s.Entries[2] = s.Entries[2], s.Entries[1] }},
		{"last one missing", "the trail ends with entry 4", func(s *audit.Segment) { s.Entries = s.Entries[:4] }},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			client, _, trail := trailOf(c, 5, 0)
			edit(c, client, 0, one.f)
			n, err := trail.Verify(t.Context())
			if one.text == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(n, qt.Equals, 5)
				return
			}
			c.Assert(baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeAuditBroken)
			c.Assert(err.Error(), qt.Contains, one.text)
		})
	}
}

// TestCatchUp: several changes were accepted whose entries did not reach the
// trail, because the VM stopped or the platform did not answer. The entries are
// part of the versions, so the next call copies all of them, once each.
func TestCatchUp(t *testing.T) {
	c := qt.New(t)
	_, p, trail := trailOf(c, 3, 0)
	n, err := trail.Verify(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 3)
	p.SetFaults(standin.Faults{LoseAnswers: 1})
	entries, err := trail.Latest(t.Context(), 0, 0, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 3)
	c.Assert(trail.Append(t.Context(), entries[2]), qt.IsNil)
	next := baobabstep.AuditEntry{Sequence: 4, PreviousHash: entries[2].Hash, Operator: "ana"}
	next.Hash = config.EntryHash(next)
	c.Assert(trail.Append(t.Context(), next), qt.IsNil)
	_, err = trail.Verify(t.Context())
	c.Assert(err, qt.ErrorMatches, ".*the trail ends with entry 4 .*")
	next.Sequence = 9
	next.Hash = config.EntryHash(next)
	c.Assert(baobabstep.CodeOf(trail.Append(t.Context(), next)), qt.Equals, baobabstep.CodeIncomplete)
}

// TestBounded: the trail keeps a set number of segments, and what is left still
// verifies from the anchor that was noted before the oldest were dropped.
func TestBounded(t *testing.T) {
	c := qt.New(t)
	client, _, trail := trailOf(c, 0, 2)
	hash := ""
	const entries = 3*audit.SegmentEntries + 5
	for i := range entries {
		e := baobabstep.AuditEntry{Sequence: uint64(i + 1), PreviousHash: hash}
		e.Hash = config.EntryHash(e)
		hash = e.Hash
		c.Assert(trail.Append(t.Context(), e), qt.IsNil)
	}
	values, err := client.List(t.Context(), audit.Prefix)
	c.Assert(err, qt.IsNil)
	c.Assert(values, qt.HasLen, 3)
	var kept []baobabstep.AuditEntry
	for _, kv := range values[1:] {
		var s audit.Segment
		c.Assert(json.Unmarshal(kv.Value, &s), qt.IsNil)
		kept = append(kept, s.Entries...)
	}
	c.Assert(kept[0].Sequence, qt.Equals, uint64(2*audit.SegmentEntries+1))
	kv, err := client.Get(t.Context(), audit.Prefix+"base")
	c.Assert(err, qt.IsNil)
	var anchor config.TrailPosition
	c.Assert(json.Unmarshal(kv.Value, &anchor), qt.IsNil)
	c.Assert(config.VerifyTrail(anchor, kept, config.TrailPosition{Sequence: entries, Hash: hash}), qt.IsNil)
}

// TestLatest: an operator looks at the trail of years of changes. The call reads
// the end only, or all groups of segments for a subject that is rare.
func TestLatest(t *testing.T) {
	c := qt.New(t)
	client, p, trail := trailOf(c, 1, 0)
	entries, err := trail.Latest(t.Context(), 0, 0, nil)
	c.Assert(err, qt.IsNil)
	last := entries[0]
	const total = 250*audit.SegmentEntries + 3
	var segment audit.Segment
	for n := uint64(2); n <= total; n++ {
		last = baobabstep.AuditEntry{Sequence: n, PreviousHash: last.Hash, Subject: fmt.Sprint("account/", n%1000)}
		last.Hash = config.EntryHash(last)
		segment.Entries = append(segment.Entries, last)
	}
	for i := range 251 {
		key := fmt.Sprintf("audit/segment/%012d", i)
		kv, _ := client.Get(t.Context(), key)
		s := audit.Segment{Format: 1, Entries: entries}
		if from := i*audit.SegmentEntries - 1; i > 0 {
			s.Entries = segment.Entries[from:min(from+audit.SegmentEntries, len(segment.Entries))]
		} else {
			s.Entries = append(s.Entries, segment.Entries[:audit.SegmentEntries-1]...)
		}
		_, err := client.Put(t.Context(), key, config.Encode(s), kv.Revision)
		c.Assert(err, qt.IsNil)
	}
	setEnd(c, client, last)
	calls := p.Stats().Calls
	got, err := trail.Latest(t.Context(), 0, 5, nil)
	c.Assert(err, qt.IsNil)
	c.Assert([]uint64{got[0].Sequence, got[4].Sequence}, qt.DeepEquals, []uint64{total - 4, total})
	got, err = trail.Latest(t.Context(), total-2, 0, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 2)
	got, err = trail.Latest(t.Context(), 0, 0, func(e *baobabstep.AuditEntry) bool { return e.Subject == "account/7" })
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 16)
	n, err := trail.Verify(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, total)
	c.Assert(p.Stats().Calls-calls < 20, qt.IsTrue, qt.Commentf("%d calls", p.Stats().Calls-calls))
}

// setEnd makes the version in force one that was made by the entry.
func setEnd(c *qt.C, client *platform.Client, e baobabstep.AuditEntry) {
	c.Helper()
	ctx := c.Context()
	kv, err := client.Get(ctx, config.HeadKey)
	c.Assert(err, qt.IsNil)
	head, err := config.DecodeHead(kv.Value)
	c.Assert(err, qt.IsNil)
	object, err := client.Get(ctx, config.ObjectKey(head.Manifest))
	c.Assert(err, qt.IsNil)
	m, err := config.DecodeManifest(object.Value)
	c.Assert(err, qt.IsNil)
	m.Entry = e
	b := config.Encode(m)
	head.Manifest = config.MakeDigest(b)
	_, err = client.Put(ctx, config.ObjectKey(head.Manifest), b, 0)
	c.Assert(err, qt.IsNil)
	_, err = client.Put(ctx, config.HeadKey, config.Encode(head), kv.Revision)
	c.Assert(err, qt.IsNil)
}

func TestLog(t *testing.T) {
	c := qt.New(t)
	h := memory.New()
	l := audit.NewLog(&log.Logger{Handler: h, Level: log.InfoLevel}, "vm-1")
	set := &config.Set{Manifest: &config.Manifest{Version: 4}}
	for range 3 {
		l.InForce(time.Now(), set)
	}
	c.Assert(h.Entries, qt.HasLen, 1)
	c.Assert(h.Entries[0].Fields["version"], qt.Equals, uint64(4))
}
