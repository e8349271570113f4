package heartbeat

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

const (
	// pieceBytes is the data of one piece; with what surrounds it a piece
	// stays below MaxMessage.
	pieceBytes = 1100
	// maxPieces bounds what is put together: 1 MB, the size of the largest
	// value in the store.
	maxPieces = 1000
	// pieceTimeout is how long an unfinished whole waits for its pieces.
	pieceTimeout = time.Second
)

// routesBody is a routing table as it travels; registrations travel as a list of
// targetBody.
type routesBody struct {
	Version     uint64        `cbor:"1,keyasint"`
	IdleTimeout time.Duration `cbor:"2,keyasint,omitempty"`
	Rules       []ruleBody    `cbor:"3,keyasint,omitempty"`
	ColdLimits  []coldBody    `cbor:"4,keyasint,omitempty"`
}

// maxColdPerSecond bounds what is believed of a limit.
const maxColdPerSecond = 1e6

// coldBody is a baobabstep.ColdLimit.
type coldBody struct {
	Service   string        `cbor:"1,keyasint"`
	PerSecond float64       `cbor:"2,keyasint"`
	Lasts     time.Duration `cbor:"3,keyasint"`
}

func makeColdLimits(limits []baobabstep.ColdLimit) (bodies []coldBody) {
	for _, l := range limits {
		bodies = append(bodies, coldBody(l))
	}
	return bodies
}

// coldLimits returns the limits in bodies. Errors: CodeMalformed.
func coldLimits(bodies []coldBody) (limits []baobabstep.ColdLimit, err error) {
	for _, b := range bodies {
		if !(b.PerSecond > 0 && b.PerSecond <= maxColdPerSecond) || b.Lasts <= 0 {
			return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.routes", "service %q: got %v requests a second for %v, want up to %v and a time above 0", b.Service, b.PerSecond, b.Lasts, float64(maxColdPerSecond))
		}
		limits = append(limits, baobabstep.ColdLimit(b))
	}
	return limits, nil
}

type ruleBody struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Shares  []shareBody    `cbor:"3,keyasint"`
	// Repeatable, Aim and Priority are as in baobabstep.Rule.
	Repeatable bool          `cbor:"4,keyasint,omitempty"`
	Aim        time.Duration `cbor:"5,keyasint,omitempty"`
	Priority   int           `cbor:"6,keyasint,omitempty"`
}

type shareBody struct {
	Service string `cbor:"1,keyasint"`
	Weight  uint32 `cbor:"2,keyasint,omitempty"`
}

type targetBody struct {
	ID         baobabstep.TargetID `cbor:"1,keyasint"`
	Service    string              `cbor:"2,keyasint"`
	Address    netip.AddrPort      `cbor:"3,keyasint"`
	DataCentre string              `cbor:"4,keyasint"`
	Release    string              `cbor:"5,keyasint,omitempty"`
	Slots      int                 `cbor:"6,keyasint"`
	Draining   bool                `cbor:"7,keyasint,omitempty"`
	ColdFor    time.Duration       `cbor:"8,keyasint,omitempty"`
	Life       uint64              `cbor:"9,keyasint,omitempty"`
}

func makeRule(r *baobabstep.Rule) ruleBody {
	shares := make([]shareBody, len(r.Shares))
	for i, s := range r.Shares {
		shares[i] = shareBody{Service: s.Service, Weight: s.Weight}
	}
	return ruleBody{
		Name: r.Name, Address: r.Address, Shares: shares,
		Repeatable: r.Repeatable, Aim: r.Aim, Priority: r.Priority,
	}
}

func (b *ruleBody) rule() (baobabstep.Rule, error) {
	if len(b.Shares) == 0 || !b.Address.IsValid() {
		return baobabstep.Rule{}, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.routes", "rule %q: got address %v and %d shares", b.Name, b.Address, len(b.Shares))
	}
	shares := make([]baobabstep.Share, len(b.Shares))
	for i, s := range b.Shares {
		shares[i] = baobabstep.Share{Service: s.Service, Weight: s.Weight}
	}
	return baobabstep.Rule{
		Name: b.Name, Address: b.Address, Shares: shares,
		Repeatable: b.Repeatable, Aim: b.Aim, Priority: b.Priority,
	}, nil
}

// SortTable puts what a table lists into the order in which all VMs hold it.
func SortTable(t *baobabstep.RoutingTable) {
	SortRules(t.Rules)
	slices.SortFunc(t.ColdLimits, func(a, b baobabstep.ColdLimit) int { return cmp.Compare(a.Service, b.Service) })
}

// SortRules puts rules into the order in which all VMs hold them.
func SortRules(rules []baobabstep.Rule) {
	slices.SortFunc(rules, func(a, b baobabstep.Rule) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), a.Address.Compare(b.Address))
	})
}

// EncodeRoutes returns the content of a routing table, which has to be sorted by
// SortTable, so that equal ones have equal checksums.
func EncodeRoutes(t *baobabstep.RoutingTable) ([]byte, error) {
	body := routesBody{Version: t.Version, IdleTimeout: t.IdleTimeout, Rules: make([]ruleBody, len(t.Rules)), ColdLimits: makeColdLimits(t.ColdLimits)}
	for i := range t.Rules {
		body.Rules[i] = makeRule(&t.Rules[i])
	}
	return encMode.Marshal(&body)
}

// DecodeRoutes returns the routing table in b. Errors: CodeMalformed.
func DecodeRoutes(b []byte) (*baobabstep.RoutingTable, error) {
	var body routesBody
	if err := bodyMode.Unmarshal(b, &body); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.routes", "%w", err)
	}
	t := &baobabstep.RoutingTable{Version: body.Version, IdleTimeout: body.IdleTimeout, Rules: make([]baobabstep.Rule, len(body.Rules))}
	for i := range body.Rules {
		var err error
		if t.Rules[i], err = body.Rules[i].rule(); err != nil {
			return nil, err
		}
	}
	var err error
	t.ColdLimits, err = coldLimits(body.ColdLimits)
	return t, err
}

func makeTarget(r *baobabstep.Registration) targetBody {
	return targetBody{
		ID: r.ID, Service: r.Service, Address: r.Address, DataCentre: r.DataCentre,
		Release: r.Release, Slots: r.Slots, Draining: r.Draining, ColdFor: r.ColdFor, Life: r.Life,
	}
}

func (b *targetBody) registration() (baobabstep.Registration, error) {
	if b.ID == 0 || !b.Address.IsValid() || b.Slots < 1 {
		return baobabstep.Registration{}, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.targets", "got target %x at %v with %d slots", uint64(b.ID), b.Address, b.Slots)
	}
	return baobabstep.Registration{
		ID: b.ID, Service: b.Service, Address: b.Address, DataCentre: b.DataCentre,
		Release: b.Release, Slots: b.Slots, Draining: b.Draining, ColdFor: b.ColdFor, Life: b.Life,
	}, nil
}

// EncodeTargets returns the content of registrations.
func EncodeTargets(list []baobabstep.Registration) ([]byte, error) {
	body := make([]targetBody, len(list))
	for i := range list {
		body[i] = makeTarget(&list[i])
	}
	return encMode.Marshal(body)
}

// DecodeTargets returns the registrations in b. Errors: CodeMalformed.
func DecodeTargets(b []byte) ([]baobabstep.Registration, error) {
	var body []targetBody
	if err := bodyMode.Unmarshal(b, &body); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.targets", "%w", err)
	}
	list := make([]baobabstep.Registration, len(body))
	for i := range body {
		var err error
		if list[i], err = body[i].registration(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// bodyMode allows the larger arrays of whole contents.
var bodyMode = must(cbor.DecOptions{
	IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	MaxNestedLevels: 8, MaxArrayElements: 131072,
}.DecMode())

// Sum returns the checksum of a content.
func Sum(content []byte) uint64 { return xxhash.Sum64(content) }

// Split returns the pieces of a content. Errors: CodeTooLarge.
func Split(kind Kind, held Held, content []byte) ([]*Message, error) {
	count := max(1, (len(content)+pieceBytes-1)/pieceBytes)
	if count > maxPieces {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "heartbeat.split", "got %d bytes, want at most %d", len(content), maxPieces*pieceBytes)
	}
	check := Sum(content)
	messages := make([]*Message, 0, count)
	for i := range count {
		part := content[min(i*pieceBytes, len(content)):min((i+1)*pieceBytes, len(content))]
		messages = append(messages, &Message{Piece: &Piece{
			Kind: kind, Held: held, Check: check, Index: uint16(i), Count: uint16(count), Data: part,
		}})
	}
	return messages, nil
}

// Assembly puts the pieces of one kind together. The zero value is ready.
type Assembly struct {
	held   Held
	since  time.Time
	pieces [][]byte
	left   int
}

// Add takes in a piece and returns the content once it is whole. Pieces of
// another version replace an unfinished whole only if they are newer, or if it
// has waited too long.
func (a *Assembly) Add(now time.Time, p *Piece) (content []byte, held Held, whole bool) {
	if !a.sameAs(p) {
		if a.left > 0 && !a.held.Revision().Before(p.Held.Revision()) && now.Sub(a.since) < pieceTimeout {
			return nil, Held{}, false
		}
		*a = Assembly{held: p.Held, since: now, pieces: make([][]byte, p.Count), left: int(p.Count)}
	}
	if a.pieces[p.Index] != nil {
		return nil, Held{}, false
	}
	a.pieces[p.Index] = append([]byte{}, p.Data...)
	a.left--
	if a.left > 0 {
		return nil, Held{}, false
	}
	for _, piece := range a.pieces {
		content = append(content, piece...)
	}
	held = a.held
	*a = Assembly{}
	return content, held, Sum(content) == p.Check
}

// sameAs tells whether a piece belongs to the unfinished whole.
func (a *Assembly) sameAs(p *Piece) bool {
	return a.left > 0 && a.held.Revision() == p.Held.Revision() && a.held.Sum == p.Held.Sum && len(a.pieces) == int(p.Count)
}
