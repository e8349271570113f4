package heartbeat

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// MaxMessage bounds an encoded message in bytes: one datagram that no link of
// 1,500 bytes has to cut, with room for the code that authenticates it.
const MaxMessage = 1300

// Limits of what a heartbeat carries. It stays below MaxMessage, and with the
// fan-outs of [Options] a VM sends at most 18 KB a second of heartbeats, of the
// 20 KB that control may take (BenchmarkHeartbeats in package entry).
const (
	maxLoads = 50
	// farLoads is the number for VMs of other data centres, which send few of
	// their flows to the same targets.
	farLoads = 20
	maxPeers = 4
)

// Message is one message between VMs. Exactly one of its parts is set.
type Message struct {
	_         struct{} `cbor:",toarray"`
	Heartbeat *Heartbeat
	Want      *Want
	Piece     *Piece
	Change    *Change
}

// Heartbeat is what a VM says of itself.
type Heartbeat struct {
	_          struct{} `cbor:",toarray"`
	From       baobabstep.VMID
	DataCentre string
	// Life is when the VM started, by its own clock in milliseconds; a later
	// life has a greater one. Number counts the heartbeats of this life.
	Life, Number uint64
	// Leaving is set once the VM has begun a planned stop.
	Leaving bool
	// Blind is set while the sender cannot read the store.
	Blind bool
	Held  [kinds]Held
	Loads Loads
	// Peers are some VMs that the sender hears.
	Peers []netip.AddrPort
}

// Kind is something that VMs hold in common.
type Kind uint8

// Kinds of what VMs hold.
const (
	// Routes is the routing table; its version is the table's.
	Routes Kind = iota
	// Targets are the registrations; their version is the store's revision
	// when they were read, which moves on without changing them.
	Targets

	kinds = 2
)

// Held says which version of one kind a VM holds and how fresh it is.
type Held struct {
	_ struct{} `cbor:",toarray"`
	// Version is 0 if the VM holds none.
	Version uint64
	// Sum is the checksum of the content.
	Sum uint64
	// AgeMS is how long ago the store, or a VM that had asked it, was known
	// to hold nothing newer.
	AgeMS uint32
}

// MakeHeld returns what a VM says of what it holds.
func MakeHeld(version, sum uint64, age time.Duration) Held {
	return Held{Version: version, Sum: sum, AgeMS: uint32(min(max(0, age.Milliseconds()), maxAge))}
}

// Age returns AgeMS as a duration.
func (h Held) Age() time.Duration { return time.Duration(h.AgeMS) * time.Millisecond }

// Vouches returns how long ago the store was known to hold nothing newer than
// the content with the given checksum, by the sender's word; false if the sender
// holds another or none.
func (h *Heartbeat) Vouches(kind Kind, sum uint64) (age time.Duration, ok bool) {
	held := &h.Held[kind]
	return held.Age(), held.Version > 0 && held.Sum == sum
}

// Load is what the sender sends to one target.
type Load struct {
	Target baobabstep.TargetID
	// Tenths are the recent requests, times ten.
	Tenths uint32
	// Unanswered is the number of flows in a row that the target left
	// without an answer, Opens that of those whose first segment was.
	Unanswered, Opens uint8
	// HeardMS is how long ago the target was heard of, in milliseconds; said
	// only of targets of which another VM says that they are silent, otherwise
	// 0.
	HeardMS uint16
}

// Loads are loads by target, in the order of their identifiers.
type Loads []Load

// Want asks for what the receiver holds of one kind.
type Want struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// Newer is the version that the sender holds already.
	Newer uint64
}

// Piece is one part of what a VM holds.
type Piece struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Held Held
	// Check is the checksum of the bytes of all pieces.
	Check uint64
	Index uint16
	Count uint16
	Data  []byte
}

// Change is what turns one content into the next. It costs some hundred bytes
// where the whole has thousands: on a link of 10 Mbit/s, 9 KB for each of 29 VMs
// took 0.2 s, several times a second while a service was released, and callers'
// segments were lost behind it.
type Change struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// From is the checksum of the content that it applies to, To what the
	// result has to be.
	From uint64
	To   Held
	// Idle is the idle timeout of a routing table.
	Idle time.Duration
	// RemovedRules and Rules, or RemovedTargets and Targets, are what goes
	// and what comes or is replaced.
	RemovedRules   []string
	Rules          []ruleBody
	RemovedTargets []baobabstep.TargetID
	Targets        []targetBody
}

var (
	encMode = must(cbor.EncOptions{}.EncMode())
	decMode = must(cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 6, MaxArrayElements: 4096,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the bytes of a message. Errors: CodeTooLarge.
func Encode(m *Message) ([]byte, error) {
	b, err := encMode.Marshal(m)
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeInternal, "heartbeat.encode", "%w", err)
	}
	if len(b) > MaxMessage {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "heartbeat.encode", "got %d bytes, want at most %d", len(b), MaxMessage)
	}
	return b, nil
}

// Decode returns the message in b. Errors: CodeMalformed.
func Decode(b []byte) (*Message, error) {
	var m Message
	if err := decMode.Unmarshal(b, &m); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.decode", "%w", err)
	}
	if !m.valid() {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.decode", "got values out of range")
	}
	return &m, nil
}

func (m *Message) valid() bool {
	parts := 0
	if h := m.Heartbeat; h != nil {
		parts++
		if h.From == 0 || h.DataCentre == "" || len(h.Loads) > maxLoads || len(h.Peers) > maxPeers {
			return false
		}
	}
	if w := m.Want; w != nil {
		parts++
		if w.Kind >= kinds {
			return false
		}
	}
	if p := m.Piece; p != nil {
		parts++
		if p.Kind >= kinds || p.Count == 0 || p.Index >= p.Count || p.Count > maxPieces {
			return false
		}
	}
	if c := m.Change; c != nil {
		parts++
		if c.Kind >= kinds || c.To.Version == 0 {
			return false
		}
	}
	return parts == 1
}

// maxAge is the greatest AgeMS.
const maxAge = 1<<32 - 1
