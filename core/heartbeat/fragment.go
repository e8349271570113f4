package heartbeat

import (
	"net/netip"
	"time"

	"baobabstep"
)

const (
	// fragmentBytes is the payload size of a fragment. With its encoding overhead, a
	// fragment stays below MaxMessage.
	fragmentBytes = 1200
	// maxFragments limits a fragmented message to 24 KB. Losing one fragment loses the
	// message, and a longer burst can overflow the queue of a slow link. Larger changes
	// are sent as sections.
	maxFragments = 20
	// maxUnfinishedMessages limits the messages in reassembly. Those older than
	// fragmentTimeout are dropped when a new one starts.
	maxUnfinishedMessages = 16
	fragmentTimeout       = time.Second
)

// Fragment is one part of an encoded message that exceeds MaxMessage.
type Fragment struct {
	// MessageChecksum is the checksum of the complete encoded message.
	MessageChecksum uint64 `cbor:"1,keyasint"`
	Index           uint16 `cbor:"2,keyasint,omitempty"`
	Count           uint16 `cbor:"3,keyasint"`
	Data            []byte `cbor:"4,keyasint"`
}

// EncodeDatagrams encodes a message as a single datagram, or as fragments if it exceeds
// MaxMessage. Errors: CodeTooLarge.
func EncodeDatagrams(m *Message) ([][]byte, error) {
	encoded, err := marshal(m)
	if err != nil {
		return nil, err
	}
	if len(encoded) <= MaxMessage {
		return [][]byte{encoded}, nil
	}
	count := (len(encoded) + fragmentBytes - 1) / fragmentBytes
	if count > maxFragments {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "heartbeat.encode", "got %d bytes, want at most %d", len(encoded), maxFragments*fragmentBytes)
	}
	check := Checksum(encoded)
	datagrams := make([][]byte, 0, count)
	for i := range count {
		data := encoded[i*fragmentBytes : min((i+1)*fragmentBytes, len(encoded))]
		b, err := Encode(&Message{Fragment: &Fragment{MessageChecksum: check, Index: uint16(i), Count: uint16(count), Data: data}})
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, b)
	}
	return datagrams, nil
}

// FragmentAssembly reassembles fragmented messages. The zero value is ready to use. It
// is not safe for concurrent use.
type FragmentAssembly struct {
	unfinished map[fragmentKey]*unfinishedMessage
}

// fragmentKey identifies a message in reassembly.
type fragmentKey struct {
	from  netip.AddrPort
	check uint64
}

type unfinishedMessage struct {
	startedAt time.Time
	parts     [][]byte
	left      int
}

// Add adds a fragment. It returns the message once all fragments have arrived, and nil
// before. Errors: as for Decode.
func (a *FragmentAssembly) Add(now time.Time, from netip.AddrPort, f *Fragment) (*Message, error) {
	key := fragmentKey{from: from, check: f.MessageChecksum}
	u := a.unfinished[key]
	if u == nil || len(u.parts) != int(f.Count) {
		u = a.begin(now, key, int(f.Count))
	}
	if u.parts[f.Index] != nil {
		return nil, nil
	}
	u.parts[f.Index] = append([]byte{}, f.Data...)
	u.left--
	if u.left > 0 {
		return nil, nil
	}
	delete(a.unfinished, key)
	var encoded []byte
	for _, part := range u.parts {
		encoded = append(encoded, part...)
	}
	if Checksum(encoded) != f.MessageChecksum {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.fragments", "checksum mismatch in reassembled message")
	}
	m, err := unmarshal(largeDecMode, encoded)
	if err == nil && m.Fragment != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.fragments", "nested fragment in reassembled message")
	}
	return m, err
}

// begin starts the reassembly of a message. It drops expired messages, and the oldest
// one if maxUnfinishedMessages is still reached.
func (a *FragmentAssembly) begin(now time.Time, key fragmentKey, count int) *unfinishedMessage {
	if a.unfinished == nil {
		a.unfinished = make(map[fragmentKey]*unfinishedMessage)
	}
	var oldest fragmentKey
	for k, u := range a.unfinished {
		if now.Sub(u.startedAt) >= fragmentTimeout {
			delete(a.unfinished, k)
		} else if o := a.unfinished[oldest]; o == nil || u.startedAt.Before(o.startedAt) {
			oldest = k
		}
	}
	if len(a.unfinished) >= maxUnfinishedMessages {
		delete(a.unfinished, oldest)
	}
	u := &unfinishedMessage{startedAt: now, parts: make([][]byte, count), left: count}
	a.unfinished[key] = u
	return u
}
