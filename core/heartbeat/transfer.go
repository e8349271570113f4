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
	// chunkBytes is the payload size of a chunk. With its encoding overhead, a chunk stays
	// below MaxMessage.
	chunkBytes = 1100
	// maxChunks limits the reassembled content to 1 MB, the size of the largest value in
	// the store.
	maxChunks = 1000
	// chunkTimeout is how long incomplete content waits for its chunks.
	chunkTimeout = time.Second
)

// routesBody is the encoded form of a routing table. Registrations are encoded as a list
// of targetBody.
type routesBody struct {
	Version     uint64          `cbor:"1,keyasint"`
	IdleTimeout time.Duration   `cbor:"2,keyasint,omitempty"`
	Rules       []ruleBody      `cbor:"3,keyasint,omitempty"`
	ColdLimits  []coldLimitBody `cbor:"4,keyasint,omitempty"`
}

// maxColdPerSecond is the largest limit that is accepted, in requests per second.
const maxColdPerSecond = 1e6

// coldLimitBody is the encoded form of a baobabstep.ColdLimit.
type coldLimitBody struct {
	Service   string        `cbor:"1,keyasint"`
	PerSecond float64       `cbor:"2,keyasint"`
	Duration  time.Duration `cbor:"3,keyasint"`
}

func makeColdLimits(limits []baobabstep.ColdLimit) (bodies []coldLimitBody) {
	for _, l := range limits {
		bodies = append(bodies, coldLimitBody(l))
	}
	return bodies
}

// coldLimits decodes limits. Errors: CodeMalformed.
func coldLimits(bodies []coldLimitBody) (limits []baobabstep.ColdLimit, err error) {
	for _, b := range bodies {
		if !(b.PerSecond > 0 && b.PerSecond <= maxColdPerSecond) || b.Duration <= 0 {
			return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.routes", "service %q: got %v requests a second for %v, want a rate above 0 and up to %v, and a duration above 0", b.Service, b.PerSecond, b.Duration, float64(maxColdPerSecond))
		}
		limits = append(limits, baobabstep.ColdLimit(b))
	}
	return limits, nil
}

type ruleBody struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Shares  []shareBody    `cbor:"3,keyasint"`
	// Repeatable, LatencyObjective and Priority are as in baobabstep.Rule.
	Repeatable       bool          `cbor:"4,keyasint,omitempty"`
	LatencyObjective time.Duration `cbor:"5,keyasint,omitempty"`
	Priority         int           `cbor:"6,keyasint,omitempty"`
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
	WarmupLeft time.Duration       `cbor:"8,keyasint,omitempty"`
	StartedMS  uint64              `cbor:"9,keyasint,omitempty"`
}

func makeRule(r *baobabstep.Rule) ruleBody {
	shares := make([]shareBody, len(r.Shares))
	for i, s := range r.Shares {
		shares[i] = shareBody{Service: s.Service, Weight: s.Weight}
	}
	return ruleBody{
		Name: r.Name, Address: r.Address, Shares: shares,
		Repeatable: r.Repeatable, LatencyObjective: r.LatencyObjective, Priority: r.Priority,
	}
}

func (b *ruleBody) rule() (baobabstep.Rule, error) {
	if len(b.Shares) == 0 || !b.Address.IsValid() || b.LatencyObjective < 0 {
		return baobabstep.Rule{}, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.routes", "rule %q: got address %v, %d shares and a latency objective of %v, want a valid address, at least one share and an objective of at least 0", b.Name, b.Address, len(b.Shares), b.LatencyObjective)
	}
	shares := make([]baobabstep.Share, len(b.Shares))
	for i, s := range b.Shares {
		shares[i] = baobabstep.Share{Service: s.Service, Weight: s.Weight}
	}
	return baobabstep.Rule{
		Name: b.Name, Address: b.Address, Shares: shares,
		Repeatable: b.Repeatable, LatencyObjective: b.LatencyObjective, Priority: b.Priority,
	}, nil
}

// SortTable sorts the lists of a routing table into the order that all VMs use.
func SortTable(t *baobabstep.RoutingTable) {
	SortRules(t.Rules)
	slices.SortFunc(t.ColdLimits, func(a, b baobabstep.ColdLimit) int { return cmp.Compare(a.Service, b.Service) })
}

// SortRules sorts rules into the order that all VMs use.
func SortRules(rules []baobabstep.Rule) {
	slices.SortFunc(rules, func(a, b baobabstep.Rule) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), a.Address.Compare(b.Address))
	})
}

// EncodeRoutes encodes a routing table, which must be sorted by SortTable, so that equal
// tables have equal checksums.
func EncodeRoutes(t *baobabstep.RoutingTable) ([]byte, error) {
	body := routesBody{Version: t.Version, IdleTimeout: t.IdleTimeout, Rules: make([]ruleBody, len(t.Rules)), ColdLimits: makeColdLimits(t.ColdLimits)}
	for i := range t.Rules {
		body.Rules[i] = makeRule(&t.Rules[i])
	}
	return encMode.Marshal(&body)
}

// DecodeRoutes decodes a routing table. Errors: CodeMalformed.
func DecodeRoutes(b []byte) (*baobabstep.RoutingTable, error) {
	var body routesBody
	if err := largeDecMode.Unmarshal(b, &body); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.routes", "%w", err)
	}
	if body.IdleTimeout < 0 {
		return nil, negativeIdleTimeout(body.IdleTimeout)
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

func negativeIdleTimeout(got time.Duration) error {
	return baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.routes", "got an idle timeout of %v, want at least 0", got)
}

func makeTarget(r *baobabstep.Registration) targetBody {
	return targetBody{
		ID: r.ID, Service: r.Service, Address: r.Address, DataCentre: r.DataCentre,
		Release: r.Release, Slots: r.Slots, Draining: r.Draining, WarmupLeft: r.WarmupLeft, StartedMS: r.StartedMS,
	}
}

func (b *targetBody) registration() (baobabstep.Registration, error) {
	r := baobabstep.Registration{
		ID: b.ID, Service: b.Service, Address: b.Address, DataCentre: b.DataCentre,
		Release: b.Release, Slots: b.Slots, Draining: b.Draining, WarmupLeft: b.WarmupLeft, StartedMS: b.StartedMS,
	}
	return r, r.Check()
}

// EncodeTargets encodes registrations.
func EncodeTargets(list []baobabstep.Registration) ([]byte, error) {
	body := make([]targetBody, len(list))
	for i := range list {
		body[i] = makeTarget(&list[i])
	}
	return encMode.Marshal(body)
}

// DecodeTargets decodes registrations. Errors: CodeMalformed.
func DecodeTargets(b []byte) ([]baobabstep.Registration, error) {
	var body []targetBody
	if err := largeDecMode.Unmarshal(b, &body); err != nil {
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

// largeDecMode allows the larger arrays of complete contents.
var largeDecMode = must(cbor.DecOptions{
	IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	MaxNestedLevels: 8, MaxArrayElements: 131072,
}.DecMode())

// Checksum returns the checksum of encoded content.
func Checksum(content []byte) uint64 { return xxhash.Sum64(content) }

// SplitChunks divides encoded content into chunks. Errors: CodeTooLarge.
func SplitChunks(kind Kind, held VersionInfo, content []byte) ([]*Message, error) {
	count := max(1, (len(content)+chunkBytes-1)/chunkBytes)
	if count > maxChunks {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "heartbeat.split", "got %d bytes, want at most %d", len(content), maxChunks*chunkBytes)
	}
	check := Checksum(content)
	messages := make([]*Message, 0, count)
	for i := range count {
		part := content[min(i*chunkBytes, len(content)):min((i+1)*chunkBytes, len(content))]
		messages = append(messages, &Message{Chunk: &Chunk{
			Kind: kind, VersionInfo: held, ContentChecksum: check, Index: uint16(i), Count: uint16(count), Data: part,
		}})
	}
	return messages, nil
}

// ChunkAssembly reassembles the chunks of one kind of content. The zero value is ready to use.
type ChunkAssembly struct {
	held      VersionInfo
	startedAt time.Time
	chunks    [][]byte
	left      int
}

// Add adds a chunk. Once all chunks have arrived and the checksum matches, it returns true
// and the content. Chunks of another version replace incomplete content only if they are
// newer, or if that content has timed out.
func (a *ChunkAssembly) Add(now time.Time, p *Chunk) (content []byte, held VersionInfo, complete bool) {
	if !a.belongs(p) {
		if a.left > 0 && !a.held.Revision().Before(p.VersionInfo.Revision()) && now.Sub(a.startedAt) < chunkTimeout {
			return nil, VersionInfo{}, false
		}
		*a = ChunkAssembly{held: p.VersionInfo, startedAt: now, chunks: make([][]byte, p.Count), left: int(p.Count)}
	}
	if a.chunks[p.Index] != nil {
		return nil, VersionInfo{}, false
	}
	a.chunks[p.Index] = append([]byte{}, p.Data...)
	a.left--
	if a.left > 0 {
		return nil, VersionInfo{}, false
	}
	for _, chunk := range a.chunks {
		content = append(content, chunk...)
	}
	held = a.held
	*a = ChunkAssembly{}
	return content, held, Checksum(content) == p.ContentChecksum
}

// belongs reports whether a chunk is part of the incomplete content.
func (a *ChunkAssembly) belongs(p *Chunk) bool {
	return a.left > 0 && a.held.Revision() == p.VersionInfo.Revision() && a.held.Checksum == p.VersionInfo.Checksum && len(a.chunks) == int(p.Count)
}
