package heartbeat

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// MaxMessage limits the size of an encoded message in bytes. With its authentication code,
// it fits into one unfragmented datagram at an MTU of 1,500 bytes.
const MaxMessage = 1340

// Limits of the content of a heartbeat. They keep it below MaxMessage. With the fan-outs
// of [Options] a VM sends at most 18 KB of heartbeats per second, of a control traffic
// limit of 20 KB per second (BenchmarkHeartbeats in package entry).
const (
	// A receiver accepts maxLoads, which programs of earlier versions send.
	maxLoads  = 50
	sentLoads = maxLoads - 1
	// maxFarLoads is the limit of loads for VMs of other data centres, which send few of
	// their flows to the same targets.
	maxFarLoads = 20
	maxPeers    = 4
)

// formatVersion is the version of the messages that this program sends.
//
// A fleet is updated VM by VM, so programs one version apart exchange messages. Fields
// have numbers. A receiver skips fields that it does not know, and takes missing ones as
// zero. So a new field needs a new number, and zero must mean that it is not set; a number
// is never reused. The version only distinguishes a later message with a part that this
// program does not know from a malformed one.
const formatVersion = 6

// Message is one message between VMs. Exactly one of its parts is set.
type Message struct {
	// Version is the sender's formatVersion, set by Encode.
	Version   uint8      `cbor:"1,keyasint"`
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`
	Request   *Request   `cbor:"3,keyasint,omitempty"`
	Chunk     *Chunk     `cbor:"4,keyasint,omitempty"`
	Change    *Change    `cbor:"5,keyasint,omitempty"`
	Alarm     *Alarm     `cbor:"6,keyasint,omitempty"`
	// Evacuations is the complete list of the sender.
	Evacuations *EvacuationList `cbor:"7,keyasint,omitempty"`
	Fragment    *Fragment       `cbor:"8,keyasint,omitempty"`
	Section     *Section        `cbor:"9,keyasint,omitempty"`
	Inquiry     *Inquiry        `cbor:"10,keyasint,omitempty"`
	Placement   *Placement      `cbor:"11,keyasint,omitempty"`
}

// Heartbeat is the state that a VM reports to others.
type Heartbeat struct {
	From       baobabstep.VMID `cbor:"1,keyasint"`
	DataCentre string          `cbor:"2,keyasint"`
	// Incarnation is the start time of the VM by its own clock, in milliseconds, so that a
	// later incarnation has a greater one. Sequence counts the messages of the
	// incarnation.
	Incarnation uint64 `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"`
	// Leaving is set once the VM has begun a planned stop.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// StoreUnreadable is set while the sender cannot read the store, and until it first has.
	StoreUnreadable bool `cbor:"6,keyasint,omitempty"`
	// Versions are the sender's versions of Routes and Targets.
	Versions [chunkedKinds]VersionInfo `cbor:"7,keyasint"`
	Loads    Loads                     `cbor:"8,keyasint"`
	// Peers are some VMs from which the sender receives heartbeats.
	Peers []netip.AddrPort `cbor:"9,keyasint,omitempty"`
	// EvacuationsVersion is the sender's version of Evacuations. Its number is 0 if the
	// sender does not support that kind.
	EvacuationsVersion VersionInfo `cbor:"10,keyasint,omitzero"`
	// TurnMS is the time in milliseconds in which the sender sends one heartbeat to each
	// VM of its data centre or, for a receiver elsewhere, of all others; 0 if not set.
	TurnMS uint32 `cbor:"11,keyasint,omitempty"`
	// CongestedMS is 1 plus the time in milliseconds since the sender's own link was last
	// congested; 0 if it was not lately.
	CongestedMS uint32 `cbor:"12,keyasint,omitempty"`
	// DataCentreReturns and TargetReturns are the latest events by which targets may have become
	// cold, and ReturnsKnownMS is 1 plus the time in milliseconds for which the sender has known of
	// all; 0 if not set.
	DataCentreReturns []DataCentreReturn `cbor:"13,keyasint,omitempty"`
	ReturnsKnownMS    uint32             `cbor:"14,keyasint,omitempty"`
	TargetReturns     []TargetReturn     `cbor:"15,keyasint,omitempty"`
}

// maxTurn is the longest turn that is accepted; longer ones are reduced to it.
const maxTurn = 2 * time.Minute

// turn returns TurnMS as a duration of at most maxTurn.
func (h *Heartbeat) turn() time.Duration {
	return min(time.Duration(h.TurnMS)*time.Millisecond, maxTurn)
}

// VersionOf returns the sender's version of a kind.
func (h *Heartbeat) VersionOf(kind Kind) VersionInfo {
	if kind == Evacuations {
		return h.EvacuationsVersion
	}
	return h.Versions[kind]
}

// Kind is a kind of content that VMs share.
type Kind uint8

// Kinds of content. The line comment of each is its name in logs.
const (
	// Routes is the routing table. Its version number is that of the table. It has no era,
	// because operators only increase it.
	Routes Kind = iota // routes
	// Targets are the registrations. Their version is the revision of the store when they
	// were read, which also increases without a change of registrations.
	Targets // targets
	// Evacuations are the data centres that get no new flows. Their version is the
	// revision of the store, as for Targets.
	Evacuations // evacuations

	// NumKinds is the number of kinds, and chunkedKinds the number of those that are sent
	// in chunks.
	NumKinds     = 3
	chunkedKinds = 2
)

// VersionInfo describes the version of one kind of content that a VM holds, and its
// freshness.
type VersionInfo struct {
	// Number is 0 if the VM holds no version.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Checksum is the checksum of the content.
	Checksum uint64 `cbor:"2,keyasint,omitempty"`
	// AgeMS is the time, in milliseconds, since the store was last known to hold nothing
	// newer, either by a request of the sender or of another VM.
	AgeMS uint32 `cbor:"3,keyasint,omitempty"`
	// Era is the era of the store's revision, and 0 for routes.
	Era uint64 `cbor:"4,keyasint,omitempty"`
	// Read is the read of the store from which AgeMS counts, 0 if it is not known, as in
	// messages of programs of earlier versions.
	Read ReadID `cbor:"5,keyasint,omitempty"`
}

// ReadID identifies a read of the store by any VM. Ages alone would make the VMs of a fleet confirm
// each other: each transfer takes time that the age does not include, and a VM cannot tell a later
// read from an earlier one of which it hears again.
type ReadID uint32

// MakeVersionInfo returns the description of content with the given revision, checksum and
// age, by an unknown read.
func MakeVersionInfo(revision baobabstep.Revision, sum uint64, age time.Duration) VersionInfo {
	return VersionInfo{Number: revision.Number, Era: revision.Era, Checksum: sum, AgeMS: uint32(min(max(0, age.Milliseconds()), maxAgeMS))}
}

// Revision returns the revision of the version.
func (v VersionInfo) Revision() baobabstep.Revision {
	return baobabstep.Revision{Era: v.Era, Number: v.Number}
}

// Age returns AgeMS as a duration.
func (v VersionInfo) Age() time.Duration { return time.Duration(v.AgeMS) * time.Millisecond }

// ConfirmedAge returns the time since the store was last known, by the sender, to hold
// nothing newer than the content with the given checksum. It returns false if the sender
// holds other content or none.
func (h *Heartbeat) ConfirmedAge(kind Kind, sum uint64) (age time.Duration, ok bool) {
	held := h.VersionOf(kind)
	return held.Age(), held.Number > 0 && held.Checksum == sum
}

// Load is the load that the sender sends to one target.
type Load struct {
	Target baobabstep.TargetID
	// RequestTenths is the number of recent requests times ten.
	RequestTenths uint32
	// Unanswered is the number of consecutive flows that the target left without an
	// answer, and UnansweredOpens the number of those whose first segment was unanswered.
	Unanswered, UnansweredOpens uint8
	// HeardMS is the time in milliseconds since the sender received anything from the
	// target. It is set only for targets that another VM reports as silent.
	HeardMS uint16
	// AnswerTenths is the number of recent requests with a known outcome, and FailedTenths
	// the number of those that failed, both times ten. LatencyMS is the mean latency of the
	// others in milliseconds. They are set only for targets that differ from the others.
	AnswerTenths, FailedTenths uint16
	LatencyMS                  uint16
	// Callers are the callers whose requests failed, as an answer.CallerSet.
	Callers uint16
	// LastUnansweredMS is the time in milliseconds since the last of the unanswered flows
	// was found to be unanswered.
	LastUnansweredMS uint16
	// NotRetransmitted is the number of consecutive flows that the target seems to have
	// refused.
	NotRetransmitted uint8
	// RequestSilenceMS is 1 more than the time in milliseconds since the last unanswered
	// request on an open flow, 0 if there is none.
	RequestSilenceMS uint16
}

// Loads are loads sorted by target.
type Loads []Load

// Request is a request for the receiver's content of one kind.
type Request struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// Number and Era are the version that the sender holds, as in VersionInfo.
	Number uint64 `cbor:"2,keyasint,omitempty"`
	Era    uint64 `cbor:"3,keyasint,omitempty"`
	// Checksum is the checksum of the content that the sender holds, to request a change
	// to it. 0 requests the complete content.
	Checksum uint64 `cbor:"4,keyasint,omitempty"`
	// Digests are the bucket digests of the sender's registrations. If set, they request
	// sections of the buckets that differ.
	Digests []byte `cbor:"5,keyasint,omitempty"`
	// ChangesOnly is set if the sender wants no response rather than sections or the
	// complete content.
	ChangesOnly bool `cbor:"6,keyasint,omitempty"`
}

// MakeRequest returns a request for content that is newer than a revision.
func MakeRequest(kind Kind, held baobabstep.Revision) *Request {
	return &Request{Kind: kind, Number: held.Number, Era: held.Era}
}

// Revision returns the revision that the sender holds.
func (r *Request) Revision() baobabstep.Revision {
	return baobabstep.Revision{Era: r.Era, Number: r.Number}
}

// Inquiry asks whether the receiver placed a flow of which the sender got a copy of the first
// segment only. A VM that did not place it sends no answer.
type Inquiry struct {
	Caller  netip.AddrPort `cbor:"1,keyasint"`
	Service netip.AddrPort `cbor:"2,keyasint"`
	Seq     uint32         `cbor:"3,keyasint,omitempty"`
}

// MakeInquiry returns an inquiry about a flow.
func MakeInquiry(o baobabstep.Opening) Inquiry {
	return Inquiry{Caller: o.Flow.Caller, Service: o.Flow.Service, Seq: o.Seq}
}

// Opening returns the flow that is asked for.
func (i *Inquiry) Opening() baobabstep.Opening {
	return baobabstep.Opening{Flow: baobabstep.FlowKey{Caller: i.Caller, Service: i.Service}, Seq: i.Seq}
}

// Placement is the answer to an inquiry: the target at which the sender placed the flow.
type Placement struct {
	Inquiry
	Target baobabstep.TargetID `cbor:"4,keyasint"`
}

// Chunk is one part of the encoded content of a kind.
type Chunk struct {
	Kind        Kind        `cbor:"1,keyasint,omitempty"`
	VersionInfo VersionInfo `cbor:"2,keyasint"`
	// ContentChecksum is the checksum of the complete encoded content.
	ContentChecksum uint64 `cbor:"3,keyasint"`
	Index           uint16 `cbor:"4,keyasint,omitempty"`
	Count           uint16 `cbor:"5,keyasint"`
	Data            []byte `cbor:"6,keyasint"`
}

// Change is the difference between two versions of a content, which is much smaller than
// the content. During the release of a service there are several changes per second. If
// the complete content were sent to every VM each time, it would saturate small links, and
// segments of callers would be lost.
type Change struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// BaseChecksum is the checksum of the content that the change applies to, and Result
	// describes the result.
	BaseChecksum uint64      `cbor:"2,keyasint"`
	Result       VersionInfo `cbor:"3,keyasint"`
	// IdleTimeout is the idle timeout of the new routing table.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
	// RemovedRules and RemovedTargets are removed; Rules and Targets are added or
	// replaced.
	RemovedRules   []string              `cbor:"5,keyasint,omitempty"`
	Rules          []ruleBody            `cbor:"6,keyasint,omitempty"`
	RemovedTargets []baobabstep.TargetID `cbor:"7,keyasint,omitempty"`
	Targets        []targetBody          `cbor:"8,keyasint,omitempty"`
	// ColdLimits are all those of the new routing table. They are set only if
	// ColdLimitsChanged is set.
	ColdLimitsChanged bool            `cbor:"9,keyasint,omitempty"`
	ColdLimits        []coldLimitBody `cbor:"10,keyasint,omitempty"`
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

// Encode encodes a message. Errors: CodeTooLarge.
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

// Decode decodes a message. Errors: CodeMalformed; CodeForeignVersion for a message of a
// later version with a part that this program does not know.
func Decode(b []byte) (*Message, error) { return unmarshal(decMode, b) }

func unmarshal(mode cbor.DecMode, b []byte) (*Message, error) {
	var m Message
	if err := mode.Unmarshal(b, &m); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.decode", "%w", err)
	}
	if m.Version > formatVersion && m == (Message{Version: m.Version}) {
		return nil, baobabstep.Errorf(baobabstep.CodeForeignVersion, "heartbeat.decode", "got an unknown part of version %d, want a part known in version %d", m.Version, formatVersion)
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
		if h.From == 0 || h.DataCentre == "" || len(h.Loads) > maxLoads || len(h.Peers) > maxPeers || len(h.DataCentreReturns) > maxDataCentreReturns || len(h.TargetReturns) > maxTargetReturns {
			return false
		}
	}
	if w := m.Request; w != nil {
		parts++
		if w.Kind >= NumKinds {
			return false
		}
	}
	if p := m.Chunk; p != nil {
		parts++
		if p.Kind >= chunkedKinds || p.Count == 0 || p.Index >= p.Count || p.Count > maxChunks {
			return false
		}
	}
	if c := m.Change; c != nil {
		parts++
		if c.Kind >= chunkedKinds || c.Result.Number == 0 {
			return false
		}
	}
	if a := m.Alarm; a != nil {
		parts++
		if a.From == 0 || len(a.Loads) > maxAlarmLoads {
			return false
		}
	}
	if e := m.Evacuations; e != nil {
		parts++
		if e.VersionInfo.Number == 0 || len(e.DataCentres) > maxEvacuatedDataCentres {
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
		if s.VersionInfo.Number == 0 {
			return false
		}
	}
	if i := m.Inquiry; i != nil {
		parts++
	}
	if p := m.Placement; p != nil {
		parts++
		if p.Target == 0 {
			return false
		}
	}
	return parts == 1 && m.Version > 0
}

// maxAgeMS is the largest AgeMS.
const maxAgeMS = 1<<32 - 1

// MaxAge is the age of a version of which nobody knows that it was the newest.
const MaxAge = maxAgeMS * time.Millisecond
