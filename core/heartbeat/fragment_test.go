package heartbeat

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// largeChange returns a message that needs several fragments.
func largeChange(first baobabstep.TargetID) *Message {
	var d Difference
	for id := first; id < first+300; id++ {
		d.Put = append(d.Put, registrationOf(id))
	}
	return &Message{Change: NewTargetsChange(d, 1, MakeVersionInfo(revisionOf(2), 3, 0))}
}

func encodeFragments(t *testing.T, m *Message) (list []*Fragment) {
	t.Helper()
	datagrams, err := EncodeDatagrams(m)
	qt.Assert(t, err, qt.IsNil)
	for _, raw := range datagrams {
		qt.Assert(t, len(raw) <= MaxMessage, qt.IsTrue)
		decoded, err := Decode(raw)
		qt.Assert(t, err, qt.IsNil)
		list = append(list, decoded.Fragment)
	}
	return list
}

// Guards against failed reassembly of interleaved, duplicate or reordered fragments.
func TestFragmentAssembly(t *testing.T) {
	first, second := encodeFragments(t, largeChange(1)), encodeFragments(t, largeChange(1000))
	qt.Assert(t, len(first) > 5, qt.IsTrue)
	var a FragmentAssembly
	messages := make(map[int]*Message)
	for i := len(first) - 1; i >= 0; i-- {
		for range 2 {
			for from, list := range map[int][]*Fragment{2: first, 3: second} {
				m, err := a.Add(start, address(from), list[i])
				qt.Assert(t, err, qt.IsNil)
				if m != nil {
					messages[from] = m
				}
			}
		}
	}
	for from, want := range map[int]*Message{2: largeChange(1), 3: largeChange(1000)} {
		got, err := marshal(messages[from])
		qt.Assert(t, err, qt.IsNil)
		sent, err := marshal(want)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got) == string(sent), qt.IsTrue)
	}
}

func TestInvalidFragments(t *testing.T) {
	t.Run("checksum mismatch", func(t *testing.T) {
		var a FragmentAssembly
		_, err := a.Add(start, address(2), &Fragment{MessageChecksum: 1, Count: 1, Data: []byte("x")})
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
	})
	t.Run("nested fragment", func(t *testing.T) {
		raw, err := Encode(&Message{Fragment: &Fragment{Count: 1}})
		qt.Assert(t, err, qt.IsNil)
		var a FragmentAssembly
		_, err = a.Add(start, address(2), &Fragment{MessageChecksum: Checksum(raw), Count: 1, Data: raw})
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
	})
	t.Run("too large", func(t *testing.T) {
		var d Difference
		for id := baobabstep.TargetID(1); id < 20000; id++ {
			d.Put = append(d.Put, registrationOf(id))
		}
		_, err := EncodeDatagrams(&Message{Change: NewTargetsChange(d, 1, MakeVersionInfo(revisionOf(2), 3, 0))})
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeTooLarge)
	})
}

// Guards against unbounded memory use by messages that never complete.
func TestUnfinishedMessagesAreBounded(t *testing.T) {
	var a FragmentAssembly
	for i := range 5 * maxUnfinishedMessages {
		_, err := a.Add(start.Add(time.Duration(i)*time.Millisecond), address(2), &Fragment{MessageChecksum: uint64(i), Count: 9})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(a.unfinished) <= maxUnfinishedMessages, qt.IsTrue)
	}
	_, err := a.Add(start.Add(time.Minute), address(2), &Fragment{MessageChecksum: 1e6, Count: 9})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.unfinished, qt.HasLen, 1)
}
