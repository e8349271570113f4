package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// kind is the type of a message.
type kind uint8

const (
	// kindPing asks for a kindAck with the same Seq.
	kindPing kind = iota + 1
	// kindAck answers a ping. If Subject is set, it reports that Subject answered
	// the ping that the receiver had requested.
	kindAck
	// kindPingRequest asks the receiver to ping Subject.
	kindPingRequest
	// kindGossip carries news only.
	kindGossip
	// kindSync carries digests, to be answered by kindSummary if they differ.
	kindSync
	// kindSummary lists the entries that the sender knows of a part of a data centre.
	kindSummary
	// kindEntries carries entries that the receiver lacks, and requests those in
	// Wanted.
	kindEntries
	// kindRelay carries news and digests to another data centre.
	kindRelay
	// kindRelayAck confirms the news of the kindRelay with the same Seq.
	kindRelayAck

	kindLast = kindRelayAck
)

// Bounds of messages. A message is malformed beyond maxBodyBytes, maxNameBytes or
// maxIncarnation; the other bounds count entries or items in a message.
const (
	maxBodyBytes   = 48 << 10
	maxNameBytes   = 128
	maxIncarnation = uint64(1) << 62
	maxPiggyback   = 6
	maxGossip      = 12
	maxRelayNews   = 16
	maxEntries     = 32
	maxWanted      = 64
	maxSummary     = 128
)

// message is the body of every message of this package.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	Seq  uint64
	// Incarnation, Nonce and State are the sender's.
	Incarnation uint64
	Nonce       uint64
	State       baobabstep.VMState
	Joining     bool
	// PeerIncarnation is the receiver's incarnation as known to the sender, 0 if
	// unknown. It avoids sending whole entries.
	PeerIncarnation uint64
	Subject         baobabstep.VMID
	News            []entry
	Beats           []beat
	Digests         []digest
	Summary         *summary
	Wanted          []baobabstep.VMID
}

// entry is what one VM knows of another. The ID is derived from the name.
type entry struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Region      string
	DataCentre  string
	Rack        string
	DataAddress netip.AddrPort
	PeerAddress netip.AddrPort
	Incarnation uint64
	State       baobabstep.VMState
	Joining     bool
	// Nonce is random for each process. It distinguishes processes with the
	// same name.
	Nonce uint64
}

// beat is the highest known beat of a data centre.
type beat struct {
	_          struct{} `cbor:",toarray"`
	DataCentre uint64
	Beat       uint64
}

// digest is the XOR of the record sums of a data centre.
type digest struct {
	_          struct{} `cbor:",toarray"`
	DataCentre uint64
	Digest     uint64
}

// summary lists the entries of a data centre with IDs from From to To, except dead ones.
type summary struct {
	_          struct{} `cbor:",toarray"`
	DataCentre uint64
	From, To   baobabstep.VMID
	Items      []item
}

type item struct {
	_           struct{} `cbor:",toarray"`
	ID          baobabstep.VMID
	Incarnation uint64
	State       baobabstep.VMState
	Nonce       uint64
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 4 * maxSummary,
		MaxMapPairs:      16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func decode(body []byte) (*message, error) {
	if len(body) > maxBodyBytes {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "member.decode",
			"got %d bytes, want at most %d", len(body), maxBodyBytes)
	}
	m := new(message)
	if err := decodeMode.Unmarshal(body, m); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "member.decode", "message: %w", err)
	}
	if m.Kind < kindPing || m.Kind > kindLast || m.State > baobabstep.VMDead {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "member.decode",
			"invalid kind %d or state %d", m.Kind, m.State)
	}
	return m, nil
}

func encode(m *message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // every field has an encoding
	}
	return body
}

func (e *entry) valid() bool {
	return e.Name != "" && len(e.Name) <= maxNameBytes && len(e.Region) <= maxNameBytes &&
		len(e.DataCentre) <= maxNameBytes && len(e.Rack) <= maxNameBytes &&
		e.State <= baobabstep.VMDead && e.Incarnation > 0 && e.Incarnation < maxIncarnation
}

func (e *entry) vm() baobabstep.VM {
	return baobabstep.VM{
		ID: baobabstep.MakeVMID(e.Name), Name: e.Name, Region: e.Region, DataCentre: e.DataCentre, Rack: e.Rack,
		DataAddress: e.DataAddress, PeerAddress: e.PeerAddress, Incarnation: e.Incarnation, State: e.State,
		Joining: e.Joining,
	}
}
