package heartbeat

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
)

func TestLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.Uint64(), 0, maxLoads, rapid.ID[uint64]).Draw(t, "ids")
		var want Loads
		for _, id := range ids {
			want = append(want, Load{
				Target: baobabstep.TargetID(id), RequestTenths: rapid.Uint32().Draw(t, "tenths"),
				Unanswered: rapid.Uint8().Draw(t, "unanswered"), UnansweredOpens: rapid.Uint8().Draw(t, "opens"),
				HeardMS: rapid.Uint16().Draw(t, "heard"), AnswerTenths: rapid.Uint16().Draw(t, "answers"),
			})
			if l := &want[len(want)-1]; l.Unanswered > 0 {
				l.LastUnansweredMS, l.NotRetransmitted = rapid.Uint16().Draw(t, "left"), rapid.Uint8().Draw(t, "vanished")
				l.RequestSilenceMS = rapid.Uint16().Draw(t, "request silence")
			}
			if l := &want[len(want)-1]; l.AnswerTenths > 0 {
				l.FailedTenths, l.LatencyMS = rapid.Uint16().Draw(t, "failed"), rapid.Uint16().Draw(t, "took")
			}
		}
		sortLoads(want)
		raw, err := want.MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		var got Loads
		if err := got.UnmarshalBinary(raw); err != nil {
			t.Fatal(err)
		}
		if len(got) != len(want) {
			t.Fatalf("got %d loads, want %d", len(got), len(want))
		}
		for i := range got {
			if got[i] != want[i] {
				t.Fatalf("load %d: got %v, want %v", i, got[i], want[i])
			}
		}
	})
}

// Guards against panics on malformed loads from a peer of another version, and against
// accepting them.
func TestMalformedLoads(t *testing.T) {
	good, err := Loads{{Target: 300, RequestTenths: 7, Unanswered: 1, HeardMS: 9}}.MarshalBinary()
	qt.Assert(t, err, qt.IsNil)
	many := make(Loads, maxLoads)
	for i := range many {
		many[i].Target = baobabstep.TargetID(i + 1)
	}
	full, err := many.MarshalBinary()
	qt.Assert(t, err, qt.IsNil)
	for _, c := range []struct {
		name string
		raw  []byte
	}{
		{"truncated details", good[:len(good)-1]},
		{"truncated after the target", good[:2]},
		{"duplicate target", append(append([]byte{}, 5, 2), 0, 2)},
		{"varint of eleven bytes", []byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 2}},
		{"target overflow", append([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 2}, 1, 2)},
		{"requests overflow", []byte{5, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}},
		{"one load too many", append(append([]byte{}, full...), 1, 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l Loads
			err := l.UnmarshalBinary(c.raw)
			qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
		})
	}
}

func TestUnsortedLoadsAreRejected(t *testing.T) {
	for _, l := range []Loads{{{Target: 2}, {Target: 1}}, {{Target: 2}, {Target: 2}}} {
		_, err := l.MarshalBinary()
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeInternal)
	}
}

// Guards against a larger encoding of loads, which take most of a heartbeat. As CBOR
// arrays, 55 loads of targets with random identifiers took 915 bytes.
func TestLoadsEncodingIsCompact(t *testing.T) {
	list := make(Loads, maxLoads)
	for i := range list {
		list[i] = Load{Target: baobabstep.TargetID(i+1) * 19_991_234_567, RequestTenths: 150}
	}
	raw, err := list.MarshalBinary()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(raw) <= 7*maxLoads, qt.IsTrue, qt.Commentf("got %d bytes", len(raw)))
}
