package peer

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func testExchange() exchange {
	return exchange{dialler: 1, acceptor: 2, diallerNonce: bytes.Repeat([]byte{3}, nonceSize), acceptorNonce: bytes.Repeat([]byte{4}, nonceSize)}
}

// Somebody on the way records frames and changes, repeats, withholds or moves
// them. A VM that believed such a frame would act on old or false news of the
// fleet in the name of its peer. Each has to be refused, and nothing after it.
func TestFramesOnTheWay(t *testing.T) {
	key := []byte("a key of sixteen bytes or more")
	x := testExchange()
	frames := func(s *seal) (list [][]byte) {
		for _, body := range []string{"one", "two", "three"} {
			data, err := s.encode(baobabstep.PeerMessage{Topic: baobabstep.TopicMember, Body: []byte(body)})
			qt.Assert(t, err, qt.IsNil)
			list = append(list, data)
		}
		return list
	}
	sent := frames(newSeal(x.session(key, 1)))
	back := frames(newSeal(x.session(key, 2)))
	later := testExchange()
	later.acceptorNonce = bytes.Repeat([]byte{5}, nonceSize)
	other := frames(newSeal(later.session(key, 1)))
	flipped := bytes.Clone(sent[1])
	flipped[len(flipped)/2] ^= 1

	tests := []struct {
		name   string
		frames [][]byte
		taken  int
	}{
		{"untouched", sent, 3},
		{"repeated", [][]byte{sent[0], sent[0]}, 1},
		{"withheld", [][]byte{sent[0], sent[2]}, 1},
		{"moved", [][]byte{sent[1], sent[0]}, 0},
		{"changed", [][]byte{sent[0], flipped}, 1},
		{"sent back to its sender", back, 0},
		{"of another connection", other, 0},
		{"cut short", [][]byte{sent[0][:len(sent[0])-1]}, 0},
		{"empty", [][]byte{{}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			receiver := newSeal(x.session(key, 1))
			taken := 0
			for _, data := range test.frames {
				if _, err := receiver.decode(data); err != nil {
					break
				}
				taken++
			}
			qt.Assert(t, taken, qt.Equals, test.taken)
		})
	}
}

// Somebody without the key records a handshake and plays it again, or hands a
// proof back as another one. Each proof must be worth nothing elsewhere.
func TestProofsFitOneHandshakeOnly(t *testing.T) {
	key := []byte("a key of sixteen bytes or more")
	tests := []struct {
		name  string
		label string
		edit  func(*exchange)
		fits  bool
	}{
		{"itself", labelDial, func(*exchange) {}, true},
		{"proof of the other side", labelAccept, func(*exchange) {}, false},
		{"other dialler", labelDial, func(x *exchange) { x.dialler = 9 }, false},
		{"other acceptor", labelDial, func(x *exchange) { x.acceptor = 9 }, false},
		{"sides swapped", labelDial, func(x *exchange) { x.dialler, x.acceptor = x.acceptor, x.dialler }, false},
		{"other nonce of the dialler", labelDial, func(x *exchange) { x.diallerNonce = newNonce() }, false},
		{"other nonce of the acceptor", labelDial, func(x *exchange) { x.acceptorNonce = newNonce() }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recorded := testExchange()
			mac := recorded.mac(key, labelDial)
			now := testExchange()
			test.edit(&now)
			_, err := now.verify([][]byte{key}, test.label, mac)
			qt.Assert(t, err == nil, qt.Equals, test.fits)
		})
	}
}

// FuzzDecode feeds what a stranger may send after, or instead of, a handshake.
func FuzzDecode(f *testing.F) {
	key := []byte("a key of sixteen bytes or more")
	good, _ := newSeal(key).encode(baobabstep.PeerMessage{Topic: "member", Body: []byte("hello")})
	f.Add(good)
	f.Add([]byte("\x84\x01\x60\x40\x40"))
	f.Add([]byte("\x9f\x01\xff"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := newSeal(key).decode(data)
		if err == nil && (m.Topic != "member" || string(m.Body) != "hello") {
			t.Fatalf("took a frame that was never sealed: %q", data)
		}
		var h hello
		var c challenge
		var p proof
		_ = decoding.Unmarshal(data, &h)
		_ = decoding.Unmarshal(data, &c)
		_ = decoding.Unmarshal(data, &p)
	})
}

func BenchmarkSealAndOpen(b *testing.B) {
	key := []byte("a key of sixteen bytes or more")
	out, in := newSeal(key), newSeal(key)
	m := baobabstep.PeerMessage{Topic: baobabstep.TopicMember, Body: make([]byte, 200)}
	for b.Loop() {
		data, err := out.encode(m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := in.decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
