package heartbeat

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"baobabstep"
)

// Encoded messages of a program of version 1. The bytes must not change.
const (
	recordedHeartbeat = "a2010102a80107026161031903e8040205f50782a3010902080307a0084b050f06030109281e1404040981460a000001e61f"
	recordedWant      = "a2010103a201010205"
	recordedPiece     = "a2010104a6010102a1010903040401050206427879"
	recordedChange    = "a2010105a60101020303a201090208041a3b9aca000781060881a6010502617303460a00000250000461610602090c"
)

// laterVersionHeartbeat returns a heartbeat of a later version, with unknown fields in the
// message, in its parts and in the details of a load.
func laterVersionHeartbeat(t testing.TB) []byte {
	t.Helper()
	loads := []byte{5, 7<<1 | 1, 11, 3, 1, 9, 40, 30, 20, 77, 78, 2, 51, 99, 4, 2 << 1}
	raw, err := cbor.Marshal(map[int]any{
		1: formatVersion + 1, 99: "a part of its own",
		2: map[int]any{
			1: 7, 2: "a", 3: 1000, 4: 2, 30: []string{"more"},
			7: []any{map[int]any{1: 9, 2: 8, 3: 7, 11: true}, map[int]any{}, map[int]any{1: 5}},
			8: loads,
		},
	})
	qt.Assert(t, err, qt.IsNil)
	return raw
}

// Guards against heartbeats of a later version that are rejected during the update of a
// fleet. A VM that rejected them would consider their senders dead, read the store in
// their place and consider their data centres unreachable.
func TestLaterVersionIsDecoded(t *testing.T) {
	m, err := Decode(laterVersionHeartbeat(t))
	qt.Assert(t, err, qt.IsNil)
	h := m.Heartbeat
	qt.Assert(t, h.From, qt.Equals, baobabstep.VMID(7))
	qt.Assert(t, h.Versions[Routes], qt.Equals, VersionInfo{Number: 9, Checksum: 8, AgeMS: 7})
	qt.Assert(t, h.Loads, qt.DeepEquals, Loads{{Target: 5, RequestTenths: 7, Unanswered: 3, UnansweredOpens: 1, HeardMS: 9, AnswerTenths: 40, FailedTenths: 30, LatencyMS: 20, Callers: 77, LastUnansweredMS: 78, NotRetransmitted: 2, RequestSilenceMS: 51}, {Target: 9, RequestTenths: 2}})
}

func TestPartOfALaterVersionIsNotMalformed(t *testing.T) {
	raw, err := cbor.Marshal(map[int]any{1: formatVersion + 1, 99: "a part of its own"})
	qt.Assert(t, err, qt.IsNil)
	_, err = Decode(raw)
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeForeignVersion)

	raw, err = cbor.Marshal(map[int]any{1: formatVersion, 9: "a part of its own"})
	qt.Assert(t, err, qt.IsNil)
	_, err = Decode(raw)
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
}

// Guards against messages of version 1 that are no longer decoded. They must be for as
// long as programs of that version may run.
func TestRecordedMessages(t *testing.T) {
	for _, test := range []struct {
		name, bytes string
		want        Message
	}{
		{"heartbeat", recordedHeartbeat, Message{Version: 1, Heartbeat: &Heartbeat{
			From: 7, DataCentre: "a", Incarnation: 1000, Sequence: 2, Leaving: true,
			Versions: [chunkedKinds]VersionInfo{{Number: 9, Checksum: 8, AgeMS: 7}, {}},
			Loads:    Loads{{Target: 5, RequestTenths: 7, Unanswered: 3, UnansweredOpens: 1, HeardMS: 9, AnswerTenths: 40, FailedTenths: 30, LatencyMS: 20}, {Target: 9, RequestTenths: 2}},
			Peers:    []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:8166")},
		}}},
		{"want", recordedWant, Message{Version: 1, Request: &Request{Kind: Targets, Number: 5}}},
		{"piece", recordedPiece, Message{Version: 1, Chunk: &Chunk{Kind: Targets, VersionInfo: VersionInfo{Number: 9}, ContentChecksum: 4, Index: 1, Count: 2, Data: []byte("xy")}}},
		{"change", recordedChange, Message{Version: 1, Change: &Change{
			Kind: Targets, BaseChecksum: 3, Result: VersionInfo{Number: 9, Checksum: 8}, IdleTimeout: time.Second, RemovedTargets: []baobabstep.TargetID{6},
			Targets: []targetBody{{ID: 5, Service: "s", Address: netip.MustParseAddrPort("10.0.0.2:80"), DataCentre: "a", Slots: 2, StartedMS: 12}},
		}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			raw, err := hex.DecodeString(test.bytes)
			qt.Assert(t, err, qt.IsNil)
			m, err := Decode(raw)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, *m, qt.CmpEquals(cmp.Comparer(func(x, y netip.AddrPort) bool { return x == y })), test.want)
			again, err := Encode(&test.want)
			qt.Assert(t, err, qt.IsNil)
			// Only the version is encoded differently.
			recorded := strings.Replace(test.bytes, "a20101", fmt.Sprintf("a201%02x", formatVersion), 1)
			qt.Assert(t, hex.EncodeToString(again), qt.Equals, recorded)
		})
	}
}
