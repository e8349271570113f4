package heartbeat

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func largeTable(version uint64) *baobabstep.RoutingTable {
	t := &baobabstep.RoutingTable{Version: version, IdleTimeout: 15 * time.Second}
	for i := range 350 {
		t.Rules = append(t.Rules, baobabstep.Rule{
			Name: fmt.Sprintf("route-%d", i), Address: netip.AddrPortFrom(address(i%250).Addr(), uint16(i+1)),
			Shares: []baobabstep.Share{{Service: "fixtures", Weight: 90}, {Service: "results", Weight: 10}},
		})
	}
	return t
}

func chunksOf(t testing.TB, version uint64) []*Message {
	t.Helper()
	content, err := EncodeRoutes(largeTable(version))
	qt.Assert(t, err, qt.IsNil)
	list, err := SplitChunks(Routes, MakeVersionInfo(revisionOf(version), Checksum(content), 0), content)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(list) > 5, qt.IsTrue)
	for _, m := range list {
		_, err := Encode(m)
		qt.Assert(t, err, qt.IsNil)
	}
	return list
}

func TestRoutesInChunks(t *testing.T) {
	list := chunksOf(t, 7)
	list = append(list, list...) // datagrams may be duplicated
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var a ChunkAssembly
	completed := 0
	for _, m := range list {
		content, held, complete := a.Add(start, m.Chunk)
		if !complete {
			continue
		}
		completed++
		qt.Assert(t, held.Number, qt.Equals, uint64(7))
		table, err := DecodeRoutes(content)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, table.Rules, qt.HasLen, 350)
		qt.Assert(t, table.Rules[3].Shares[1], qt.Equals, baobabstep.Share{Service: "results", Weight: 10})
	}
	qt.Assert(t, completed >= 1, qt.IsTrue)
}

// Guards against chunks of an older version that are mixed into a newer one, or that
// prevent its completion, when two peers send different versions at the same time.
func TestChunksOfTwoVersions(t *testing.T) {
	older, newer := chunksOf(t, 7), chunksOf(t, 8)
	var a ChunkAssembly
	for i := range older {
		a.Add(start, older[i].Chunk)
		content, held, complete := a.Add(start, newer[i].Chunk)
		qt.Assert(t, complete, qt.Equals, i == len(older)-1)
		if complete {
			qt.Assert(t, held.Number, qt.Equals, uint64(8))
			_, err := DecodeRoutes(content)
			qt.Assert(t, err, qt.IsNil)
		}
	}
}

// Guards against chunks of a restored store that wait for those of the previous era.
func TestChunksOfALaterEra(t *testing.T) {
	var a ChunkAssembly
	a.Add(start, chunksOf(t, 9)[0].Chunk)
	complete := false
	for _, m := range chunksOf(t, 8) {
		m.Chunk.VersionInfo.Era = 1
		_, _, complete = a.Add(start, m.Chunk)
	}
	qt.Assert(t, complete, qt.IsTrue)
}

// Guards against a lost chunk that blocks later content, even of an older version from
// another peer.
func TestLostChunkDoesNotBlock(t *testing.T) {
	var a ChunkAssembly
	a.Add(start, chunksOf(t, 9)[0].Chunk)
	later := start.Add(chunkTimeout)
	complete := false
	for _, m := range chunksOf(t, 8) {
		_, _, complete = a.Add(later, m.Chunk)
	}
	qt.Assert(t, complete, qt.IsTrue)
}

func TestDamagedChunk(t *testing.T) {
	list := chunksOf(t, 7)
	list[2].Chunk.Data = append([]byte{0xff}, list[2].Chunk.Data[1:]...)
	var a ChunkAssembly
	for _, m := range list {
		_, _, complete := a.Add(start, m.Chunk)
		qt.Assert(t, complete, qt.IsFalse)
	}
}

func TestTargetsRoundTrip(t *testing.T) {
	want := []baobabstep.Registration{
		{ID: 3, Service: "fixtures", Address: address(3), DataCentre: "a", Release: "v1", Slots: 2, Draining: true, WarmupLeft: time.Second},
		{ID: 4, Service: "results", Address: address(4), DataCentre: "b", Slots: 1},
	}
	content, err := EncodeTargets(want)
	qt.Assert(t, err, qt.IsNil)
	got, err := DecodeTargets(content)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fmt.Sprint(got), qt.Equals, fmt.Sprint(want))
}

func TestDecodeInvalid(t *testing.T) {
	for _, test := range []struct {
		name string
		m    Message
	}{
		{"nothing", Message{}},
		{"two parts", Message{Heartbeat: newHeartbeat(1, 1, 1), Request: &Request{}}},
		{"no sender", Message{Heartbeat: &Heartbeat{DataCentre: "a"}}},
		{"no data centre", Message{Heartbeat: &Heartbeat{From: 1}}},
		{"unknown kind requested", Message{Request: &Request{Kind: NumKinds}}},
		{"chunk index out of range", Message{Chunk: &Chunk{Index: 2, Count: 2}}},
		{"no chunks", Message{Chunk: &Chunk{}}},
		{"too many chunks", Message{Chunk: &Chunk{Count: maxChunks + 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			raw, err := encMode.Marshal(&test.m)
			qt.Assert(t, err, qt.IsNil)
			_, err = Decode(raw)
			qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
		})
	}
	for _, raw := range [][]byte{nil, {0xff}, []byte("no message")} {
		_, err := Decode(raw)
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := Encode(&Message{Heartbeat: newHeartbeat(1, 1, 1)})
	qt.Assert(f, err, qt.IsNil)
	f.Add(raw)
	congested := newHeartbeat(1, 1, 1)
	congested.CongestedMS = 1
	for _, m := range []*Message{{Heartbeat: congested}, {Alarm: &Alarm{From: 1, CongestedMS: 1}}} {
		raw, err := Encode(m)
		qt.Assert(f, err, qt.IsNil)
		f.Add(raw)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err == nil && m.Heartbeat != nil {
			_ = congestedAt(start, m.Heartbeat.CongestedMS)
		}
		if err == nil && m.Chunk != nil {
			var a ChunkAssembly
			a.Add(start, m.Chunk)
		}
		if table, err := DecodeRoutes(raw); err == nil {
			_, _ = EncodeRoutes(table)
		}
		if list, err := DecodeTargets(raw); err == nil {
			_, _ = EncodeTargets(list)
		}
	})
}

// Guards against routes of another VM with a negative time, by which idle flows would end at once.
func TestNegativeTimesOfRoutesAreRefused(t *testing.T) {
	for name, change := range map[string]func(*baobabstep.RoutingTable){
		"idle timeout":      func(table *baobabstep.RoutingTable) { table.IdleTimeout = -1 },
		"latency objective": func(table *baobabstep.RoutingTable) { table.Rules[0].LatencyObjective = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			table := &baobabstep.RoutingTable{Version: 2, Rules: []baobabstep.Rule{{Name: "r", Address: address(1), Shares: []baobabstep.Share{{Service: "s", Weight: 1}}}}}
			base := *table
			base.Version, base.Rules = 1, slices.Clone(table.Rules)
			change(table)
			content, err := EncodeRoutes(table)
			qt.Assert(t, err, qt.IsNil)
			_, err = DecodeRoutes(content)
			qt.Check(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
			c := NewRoutesChange(&base, table, 9, MakeVersionInfo(baobabstep.Revision{Number: 2}, Checksum(content), 0))
			_, err = c.ApplyRoutes(&base, 9)
			qt.Check(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
		})
	}
}
