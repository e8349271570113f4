package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// kind tells what a message is for.
type kind uint8

const (
	// kindPing asks for a kindAck with the same Seq.
	kindPing kind = iota + 1
	// kindAck answers a ping. With a Subject it reports that another VM
	// answered the ping that the receiver had asked for.
	kindAck
	// kindPingRequest asks the receiver to ping Subject.
	kindPingRequest
	// kindGossip carries news only.
	kindGossip
	// kindSync carries digests, to be answered by kindSummary if they differ.
	kindSync
	// kindSummary lists what the sender knows of a part of a data centre.
	kindSummary
	// kindEntries carries entries that the receiver lacks, and asks for those
	// in Wanted.
	kindEntries
	// kindRelay carries news and digests to another data centre.
	kindRelay
	// kindRelayAck says that the news of the kindRelay with the same Seq
	// was taken.
	kindRelayAck

	kindLast = kindRelayAck
)

// Bounds of messages. A message that goes beyond them is malformed.
const (
	maxBody        = 48 << 10
	maxName        = 128
	maxIncarnation = uint64(1) << 62
	maxPiggyback   = 6
	maxGossip      = 12
	maxRelayNews   = 16
	maxGive        = 32
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
	// PeerIncarnation is the incarnation of the receiver as the sender knows
	// it, 0 if not at all. It saves sending whole entries.
	PeerIncarnation uint64
	Subject         baobabstep.VMID
	News            []entry
	Beats           []beat
	Digests         []digest
	Summary         *summary
	Wanted          []baobabstep.VMID
}

// entry is what one VM knows of another. The ID follows from the name.
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
	// Nonce is drawn by each process at its start. It tells two processes
	// with one name apart.
	Nonce uint64
}

// beat is the highest beat known of a data centre.
type beat struct {
	_          struct{} `cbor:",toarray"`
	DataCentre uint64
	Beat       uint64
}

// digest sums up the entries known of a data centre.
type digest struct {
	_          struct{} `cbor:",toarray"`
	DataCentre uint64
	Digest     uint64
}

// summary lists all entries of a data centre with IDs from From to To, the
// dead left out.
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

var decoding = func() cbor.DecMode {
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
	if len(body) > maxBody {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "member.decode",
			"got %d bytes, want at most %d", len(body), maxBody)
	}
	m := new(message)
	if err := decoding.Unmarshal(body, m); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "member.decode", "message: %w", err)
	}
	if m.Kind < kindPing || m.Kind > kindLast || m.State > baobabstep.VMDead {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "member.decode",
			"got kind %d and state %d", m.Kind, m.State)
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
	return e.Name != "" && len(e.Name) <= maxName && len(e.Region) <= maxName &&
		len(e.DataCentre) <= maxName && len(e.Rack) <= maxName &&
		e.State <= baobabstep.VMDead && e.Incarnation > 0 && e.Incarnation < maxIncarnation
}

func (e *entry) vm() baobabstep.VM {
	return baobabstep.VM{
		ID: baobabstep.MakeVMID(e.Name), Name: e.Name, Region: e.Region, DataCentre: e.DataCentre, Rack: e.Rack,
		DataAddress: e.DataAddress, PeerAddress: e.PeerAddress, Incarnation: e.Incarnation, State: e.State,
		Joining: e.Joining,
	}
}
