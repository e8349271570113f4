package heartbeat

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func bigTable(version uint64) *baobabstep.RoutingTable {
	t := &baobabstep.RoutingTable{Version: version, IdleTimeout: 15 * time.Second}
	for i := range 350 {
		t.Rules = append(t.Rules, baobabstep.Rule{
			Name: fmt.Sprintf("route-%d", i), Address: netip.AddrPortFrom(address(i%250).Addr(), uint16(i+1)),
			Shares: []baobabstep.Share{{Service: "fixtures", Weight: 90}, {Service: "results", Weight: 10}},
		})
	}
	return t
}

func pieces(t testing.TB, version uint64) []*Message {
	t.Helper()
	content, err := EncodeRoutes(bigTable(version))
	qt.Assert(t, err, qt.IsNil)
	list, err := Split(Routes, MakeHeld(revisionOf(version), Sum(content), 0), content)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(list) > 5, qt.IsTrue)
	for _, m := range list {
		_, err := Encode(m)
		qt.Assert(t, err, qt.IsNil)
	}
	return list
}

func TestRoutesTravelInPieces(t *testing.T) {
	list := pieces(t, 7)
	list = append(list, list...) // datagrams may come twice
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var a Assembly
	wholes := 0
	for _, m := range list {
		content, held, whole := a.Add(start, m.Piece)
		if !whole {
			continue
		}
		wholes++
		qt.Assert(t, held.Version, qt.Equals, uint64(7))
		table, err := DecodeRoutes(content)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, table.Rules, qt.HasLen, 350)
		qt.Assert(t, table.Rules[3].Shares[1], qt.Equals, baobabstep.Share{Service: "results", Weight: 10})
	}
	qt.Assert(t, wholes >= 1, qt.IsTrue)
}

// Two peers send different versions at once. Pieces of the older one must not
// end up in the newer one, nor keep it from becoming whole.
func TestPiecesOfTwoVersions(t *testing.T) {
	older, newer := pieces(t, 7), pieces(t, 8)
	var a Assembly
	for i := range older {
		a.Add(start, older[i].Piece)
		content, held, whole := a.Add(start, newer[i].Piece)
		qt.Assert(t, whole, qt.Equals, i == len(older)-1)
		if whole {
			qt.Assert(t, held.Version, qt.Equals, uint64(8))
			_, err := DecodeRoutes(content)
			qt.Assert(t, err, qt.IsNil)
		}
	}
}

// Guards against pieces of a restored store that wait behind those of the era before.
func TestPiecesOfALaterEra(t *testing.T) {
	var a Assembly
	a.Add(start, pieces(t, 9)[0].Piece)
	whole := false
	for _, m := range pieces(t, 8) {
		m.Piece.Held.Era = 1
		_, _, whole = a.Add(start, m.Piece)
	}
	qt.Assert(t, whole, qt.IsTrue)
}

// A piece was lost. The whole that waits for it must not block what comes later,
// not even an older version from a peer that is still there.
func TestLostPieceBlocksNothing(t *testing.T) {
	var a Assembly
	a.Add(start, pieces(t, 9)[0].Piece)
	later := start.Add(pieceTimeout)
	whole := false
	for _, m := range pieces(t, 8) {
		_, _, whole = a.Add(later, m.Piece)
	}
	qt.Assert(t, whole, qt.IsTrue)
}

func TestDamagedPieceIsNotUsed(t *testing.T) {
	list := pieces(t, 7)
	list[2].Piece.Data = append([]byte{0xff}, list[2].Piece.Data[1:]...)
	var a Assembly
	for _, m := range list {
		_, _, whole := a.Add(start, m.Piece)
		qt.Assert(t, whole, qt.IsFalse)
	}
}

func TestTargetsTravel(t *testing.T) {
	want := []baobabstep.Registration{
		{ID: 3, Service: "fixtures", Address: address(3), DataCentre: "a", Release: "v1", Slots: 2, Draining: true, ColdFor: time.Second},
		{ID: 4, Service: "results", Address: address(4), DataCentre: "b", Slots: 1},
	}
	content, err := EncodeTargets(want)
	qt.Assert(t, err, qt.IsNil)
	got, err := DecodeTargets(content)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fmt.Sprint(got), qt.Equals, fmt.Sprint(want))
}

func TestDecodeRefuses(t *testing.T) {
	for _, test := range []struct {
		name string
		m    Message
	}{
		{"nothing", Message{}},
		{"two parts", Message{Heartbeat: beat(1, 1, 1), Want: &Want{}}},
		{"no sender", Message{Heartbeat: &Heartbeat{DataCentre: "a"}}},
		{"no data centre", Message{Heartbeat: &Heartbeat{From: 1}}},
		{"unknown kind wanted", Message{Want: &Want{Kind: Kinds}}},
		{"piece past the end", Message{Piece: &Piece{Index: 2, Count: 2}}},
		{"no pieces", Message{Piece: &Piece{}}},
		{"absurd count", Message{Piece: &Piece{Count: maxPieces + 1}}},
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
	raw, err := Encode(&Message{Heartbeat: beat(1, 1, 1)})
	qt.Assert(f, err, qt.IsNil)
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err == nil && m.Piece != nil {
			var a Assembly
			a.Add(start, m.Piece)
		}
		if table, err := DecodeRoutes(raw); err == nil {
			_, _ = EncodeRoutes(table)
		}
		if list, err := DecodeTargets(raw); err == nil {
			_, _ = EncodeTargets(list)
		}
	})
}
