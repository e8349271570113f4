package heartbeat

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// MaxMessage bounds an encoded message in bytes: one datagram that no link of
// 1,500 bytes has to cut, with room for the code that authenticates it.
const MaxMessage = 1340

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

// formatVersion is the version of messages that this program sends.
//
// A fleet is replaced VM by VM, so programs one version apart talk to each
// other. Fields travel under numbers: a receiver skips those that it does not
// know, and takes those that are missing for zero. A new field so needs a new
// number and a zero that means "not said"; a number is never used again. The
// version itself decides nothing. It tells a later message with a part that
// this program does not know from a malformed one.
const formatVersion = 5

// Message is one message between VMs. Exactly one of its parts is set.
type Message struct {
	// Version is the sender's formatVersion, set by Encode.
	Version   uint8      `cbor:"1,keyasint"`
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`
	Want      *Want      `cbor:"3,keyasint,omitempty"`
	Piece     *Piece     `cbor:"4,keyasint,omitempty"`
	Change    *Change    `cbor:"5,keyasint,omitempty"`
	Alarm     *Alarm     `cbor:"6,keyasint,omitempty"`
	// Evacuations is all that the sender holds of that kind.
	Evacuations *EvacuationList `cbor:"7,keyasint,omitempty"`
	Fragment    *Fragment       `cbor:"8,keyasint,omitempty"`
	Section     *Section        `cbor:"9,keyasint,omitempty"`
}

// Heartbeat is what a VM says of itself.
type Heartbeat struct {
	From       baobabstep.VMID `cbor:"1,keyasint"`
	DataCentre string          `cbor:"2,keyasint"`
	// Life is when the VM started, by its own clock in milliseconds; a later
	// life has a greater one. Number counts the heartbeats of this life.
	Life   uint64 `cbor:"3,keyasint"`
	Number uint64 `cbor:"4,keyasint"`
	// Leaving is set once the VM has begun a planned stop.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Blind is set while the sender cannot read the store.
	Blind bool `cbor:"6,keyasint,omitempty"`
	// Held is what the sender holds of Routes and Targets.
	Held  [pieceKinds]Held `cbor:"7,keyasint"`
	Loads Loads            `cbor:"8,keyasint"`
	// Peers are some VMs that the sender hears.
	Peers []netip.AddrPort `cbor:"9,keyasint,omitempty"`
	// HeldEvacuations is what Held would say of Evacuations; a version 0 is that
	// of a sender that knows nothing of that kind.
	HeldEvacuations Held `cbor:"10,keyasint,omitzero"`
	// TurnMS is the time in milliseconds in which the sender sends one heartbeat to each
	// VM of its data centre or, for a receiver elsewhere, of all others; 0 if not set.
	TurnMS uint32 `cbor:"11,keyasint,omitempty"`
}

// maxTurn is the longest turn that is accepted; longer ones are reduced to it.
const maxTurn = 2 * time.Minute

// turn returns TurnMS as a duration of at most maxTurn.
func (h *Heartbeat) turn() time.Duration {
	return min(time.Duration(h.TurnMS)*time.Millisecond, maxTurn)
}

// HeldOf returns what the sender says of a kind.
func (h *Heartbeat) HeldOf(kind Kind) Held {
	if kind == Evacuations {
		return h.HeldEvacuations
	}
	return h.Held[kind]
}

// Kind is something that VMs hold in common.
type Kind uint8

// Kinds of what VMs hold. The comment of each is its name in logs.
const (
	// Routes is the routing table; its version is the table's, which belongs to no
	// era: operators only raise it.
	Routes Kind = iota // routes
	// Targets are the registrations; their version is the store's revision
	// when they were read, which moves on without changing them.
	Targets // targets
	// Evacuations are the data centres that get no new flow; their version is
	// the store's revision, as that of Targets.
	Evacuations // evacuations

	// Kinds is their number, and pieceKinds that of those which travel in pieces.
	Kinds      = 3
	pieceKinds = 2
)

// Held says which version of one kind a VM holds and how fresh it is.
type Held struct {
	// Version is 0 if the VM holds none.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Sum is the checksum of the content.
	Sum uint64 `cbor:"2,keyasint,omitempty"`
	// AgeMS is how long ago the store, or a VM that had asked it, was known
	// to hold nothing newer.
	AgeMS uint32 `cbor:"3,keyasint,omitempty"`
	// Era is that of the store's revision in Version; 0 for routes.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

// MakeHeld returns what a VM says of what it holds.
func MakeHeld(revision baobabstep.Revision, sum uint64, age time.Duration) Held {
	return Held{Version: revision.Number, Era: revision.Era, Sum: sum, AgeMS: uint32(min(max(0, age.Milliseconds()), maxAge))}
}

// Revision returns Version with its era.
func (h Held) Revision() baobabstep.Revision {
	return baobabstep.Revision{Era: h.Era, Number: h.Version}
}

// Age returns AgeMS as a duration.
func (h Held) Age() time.Duration { return time.Duration(h.AgeMS) * time.Millisecond }

// Vouches returns how long ago the store was known to hold nothing newer than
// the content with the given checksum, by the sender's word; false if the sender
// holds another or none.
func (h *Heartbeat) Vouches(kind Kind, sum uint64) (age time.Duration, ok bool) {
	held := h.HeldOf(kind)
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
	// AnswerTenths are the recent requests whose outcome was seen, FailedTenths
	// those that failed, both times ten, and TookMS is the mean time of the
	// others in milliseconds; said only of targets that stand out.
	AnswerTenths, FailedTenths uint16
	TookMS                     uint16
	// Callers is the set of callers that failed, as a set of package answer.
	Callers uint16
	// LeftMS is how long ago the last of the unanswered flows was found so.
	LeftMS uint16
	// Vanished is the number of flows in a row that the target seems to have
	// refused.
	Vanished uint8
}

// Loads are loads by target, in the order of their identifiers.
type Loads []Load

// Want asks for what the receiver holds of one kind.
type Want struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// Newer and Era are the version that the sender holds already, as in Held.
	Newer uint64 `cbor:"2,keyasint,omitempty"`
	Era   uint64 `cbor:"3,keyasint,omitempty"`
	// Sum is the checksum of the content that the sender holds, to request a change to
	// it. 0 requests the whole.
	Sum uint64 `cbor:"4,keyasint,omitempty"`
	// Digests are the bucket digests of the sender's registrations. If set, sections of
	// the buckets that differ are requested.
	Digests []byte `cbor:"5,keyasint,omitempty"`
}

// MakeWant asks for what is newer than a revision.
func MakeWant(kind Kind, held baobabstep.Revision) *Want {
	return &Want{Kind: kind, Newer: held.Number, Era: held.Era}
}

// Revision returns what the sender holds already.
func (w *Want) Revision() baobabstep.Revision {
	return baobabstep.Revision{Era: w.Era, Number: w.Newer}
}

// Piece is one part of what a VM holds.
type Piece struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	Held Held `cbor:"2,keyasint"`
	// Check is the checksum of the bytes of all pieces.
	Check uint64 `cbor:"3,keyasint"`
	Index uint16 `cbor:"4,keyasint,omitempty"`
	Count uint16 `cbor:"5,keyasint"`
	Data  []byte `cbor:"6,keyasint"`
}

// Change is what turns one content into the next, in a small part of the bytes of
// the whole. While a service is released there are several in a second; the whole,
// sent to every VM each time, fills a small link and callers' segments are lost
// behind it.
type Change struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// From is the checksum of the content that it applies to, To what the
	// result has to be.
	From uint64 `cbor:"2,keyasint"`
	To   Held   `cbor:"3,keyasint"`
	// Idle is the idle timeout of a routing table.
	Idle time.Duration `cbor:"4,keyasint,omitempty"`
	// RemovedRules and Rules, or RemovedTargets and Targets, are what goes
	// and what comes or is replaced.
	RemovedRules   []string              `cbor:"5,keyasint,omitempty"`
	Rules          []ruleBody            `cbor:"6,keyasint,omitempty"`
	RemovedTargets []baobabstep.TargetID `cbor:"7,keyasint,omitempty"`
	Targets        []targetBody          `cbor:"8,keyasint,omitempty"`
	// ColdLimits are all of a routing table, if ColdChanged is set.
	ColdChanged bool       `cbor:"9,keyasint,omitempty"`
	ColdLimits  []coldBody `cbor:"10,keyasint,omitempty"`
	// Origin is the root of the relay tree: the VM that first sent the change within the
	// data centre. If unset, receivers do not relay the change.
	Origin netip.AddrPort `cbor:"11,keyasint,omitzero"`
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
	b, err := marshal(m)
	if err != nil {
		return nil, err
	}
	if len(b) > MaxMessage {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "heartbeat.encode", "got %d bytes, want at most %d", len(b), MaxMessage)
	}
	return b, nil
}

func marshal(m *Message) ([]byte, error) {
	sent := *m
	sent.Version = formatVersion
	b, err := encMode.Marshal(&sent)
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeInternal, "heartbeat.encode", "%w", err)
	}
	return b, nil
}

// Decode returns the message in b. Errors: CodeMalformed; CodeForeignVersion for
// a message of a later version whose part this program does not know.
func Decode(b []byte) (*Message, error) { return unmarshal(decMode, b) }

func unmarshal(mode cbor.DecMode, b []byte) (*Message, error) {
	var m Message
	if err := mode.Unmarshal(b, &m); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.decode", "%w", err)
	}
	if m.Version > formatVersion && m == (Message{Version: m.Version}) {
		return nil, baobabstep.Errorf(baobabstep.CodeForeignVersion, "heartbeat.decode", "got a part of version %d, want one known in version %d", m.Version, formatVersion)
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
		if w.Kind >= Kinds {
			return false
		}
	}
	if p := m.Piece; p != nil {
		parts++
		if p.Kind >= pieceKinds || p.Count == 0 || p.Index >= p.Count || p.Count > maxPieces {
			return false
		}
	}
	if c := m.Change; c != nil {
		parts++
		if c.Kind >= pieceKinds || c.To.Version == 0 {
			return false
		}
	}
	if a := m.Alarm; a != nil {
		parts++
		if a.From == 0 || len(a.Loads) > maxAlarmed {
			return false
		}
	}
	if e := m.Evacuations; e != nil {
		parts++
		if e.Held.Version == 0 || len(e.DataCentres) > maxEvacuated {
			return false
		}
	}
	if f := m.Fragment; f != nil {
		parts++
		if f.Index >= f.Count || f.Count > maxFragments {
			return false
		}
	}
	if s := m.Section; s != nil {
		parts++
		if s.Held.Version == 0 {
			return false
		}
	}
	return parts == 1 && m.Version > 0
}

// maxAge is the greatest AgeMS.
const maxAge = 1<<32 - 1
