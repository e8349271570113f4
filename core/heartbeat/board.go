package heartbeat

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"baobabstep"
)

// Options are the settings of a [Board]. Zero values stand for the defaults
// given with each field.
type Options struct {
	Self       baobabstep.VMID
	DataCentre string
	Address    netip.AddrPort
	// Life is when this VM started, in milliseconds.
	Life uint64
	// Seeds are addresses of VMs to greet first.
	Seeds []netip.AddrPort
	Rand  *rand.Rand

	// Near and Far are the times between two heartbeats to a VM of the own
	// and of another data centre (200 ms, 500 ms). Bytes between data
	// centres are paid for.
	Near, Far time.Duration
	// NearFanout and FarFanout bound the VMs that get a heartbeat in one such
	// time (8, 6); in larger fleets they take turns.
	NearFanout, FarFanout int
	// AnnounceFanout bounds the VMs of the own data centre that get a heartbeat
	// out of turn (4).
	AnnounceFanout int
	// Silent is the silence after which a VM counts for nothing (700 ms, three
	// heartbeats and a half). Where VMs take turns, it is longer by as much as
	// the turns are.
	Silent time.Duration
	// FarSilent is the silence of all its VMs after which another data centre
	// is out of reach (1 s). Many send to this VM now and then; with six a
	// second, one gap in 400 is longer.
	FarSilent time.Duration
	// Forget is the silence after which a VM gets no more heartbeats (30 s):
	// longer than a partition that heals, so that both sides find each other.
	Forget time.Duration
}

func (o *Options) setDefaults() {
	o.Near = cmp.Or(o.Near, 200*time.Millisecond)
	o.Far = cmp.Or(o.Far, 500*time.Millisecond)
	o.NearFanout = cmp.Or(o.NearFanout, 8)
	o.FarFanout = cmp.Or(o.FarFanout, 6)
	o.AnnounceFanout = cmp.Or(o.AnnounceFanout, 4)
	o.Silent = cmp.Or(o.Silent, 700*time.Millisecond)
	o.FarSilent = cmp.Or(o.FarSilent, time.Second)
	o.Forget = cmp.Or(o.Forget, 30*time.Second)
}

// Out is one message to be sent.
type Out struct {
	To      netip.AddrPort
	Message *Message
}

// peer is another VM as this one knows it.
type peer struct {
	address netip.AddrPort
	// last is the newest heartbeat; nil for a VM that was only heard of.
	last *Heartbeat
	// heard is when last came; for a VM that was only heard of, when it was.
	heard time.Time
}

// Board keeps what this VM knows of the others. It is safe for concurrent use.
type Board struct {
	o  Options
	mu sync.Mutex
	// peers are the VMs heard of, by address: a VM that was replaced at the
	// same address is the same peer with another life.
	peers            map[netip.AddrPort]*peer
	number           uint64
	nearAt, farAt    time.Time
	nearTurn, farRun int
	// nearTurns and farTurns are the rounds of heartbeats in which each VM of
	// the own data centre and of others gets one.
	nearTurns, farTurns int
}

// New returns a board that knows the seeds.
func New(now time.Time, o Options) *Board {
	o.setDefaults()
	b := &Board{o: o, peers: make(map[netip.AddrPort]*peer)}
	b.meet(now, o.Seeds)
	return b
}

// meet takes in addresses of VMs that this one does not know yet.
func (b *Board) meet(now time.Time, addresses []netip.AddrPort) {
	for _, a := range addresses {
		if a.IsValid() && a != b.o.Address && b.peers[a] == nil {
			b.peers[a] = &peer{address: a, heard: now}
		}
	}
}

// Own is what this VM says of itself.
type Own struct {
	Leaving, Blind bool
	Held           [kinds]Held
	Loads          []Load
}

// Tick returns the heartbeats that are due.
func (b *Board) Tick(now time.Time, own Own) []Out {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	b.countTurns()
	near, far := now.Sub(b.nearAt) >= b.o.Near, now.Sub(b.farAt) >= b.o.Far
	var outs []Out
	if near {
		b.nearAt = now
		outs = b.beat(outs, now, own, b.turn(&b.nearTurn, b.o.NearFanout, true))
	}
	if far {
		b.farAt = now
		outs = b.beat(outs, now, own, b.turn(&b.farRun, b.o.FarFanout, false))
	}
	return outs
}

// Announce returns heartbeats to some VMs of the own data centre at once: the VM
// holds something new, or leaves. With far set one VM of each other data centre
// gets one as well. Who learns something so announces it in turn: thus nobody
// has to send the whole to all.
func (b *Board) Announce(now time.Time, own Own, far bool) []Out {
	b.mu.Lock()
	defer b.mu.Unlock()
	to := b.sorted(true)
	b.o.Rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	to = to[:min(len(to), b.o.AnnounceFanout)]
	if far {
		to = append(to, b.firsts(now)...)
	}
	return b.beat(nil, now, own, to)
}

// Spread returns a change for all live VMs of the own data centre and, with far
// set, for one of each other.
func (b *Board) Spread(now time.Time, c *Change, far bool) []Out {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &Message{Change: c}
	var outs []Out
	for _, p := range b.sorted(true) {
		if b.live(now, p) {
			outs = append(outs, Out{To: p.address, Message: m})
		}
	}
	if far {
		for _, p := range b.firsts(now) {
			outs = append(outs, Out{To: p.address, Message: m})
		}
	}
	return outs
}

// IsNear tells whether the VM at an address stands in the own data centre.
func (b *Board) IsNear(address netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[address]
	return p != nil && p.last != nil && p.last.DataCentre == b.o.DataCentre
}

// firsts returns the first live VM of each other data centre.
func (b *Board) firsts(now time.Time) []*peer {
	first := make(map[string]*peer)
	for _, p := range b.peers {
		if !b.live(now, p) || p.last.DataCentre == b.o.DataCentre || p.last.Leaving {
			continue
		}
		if f := first[p.last.DataCentre]; f == nil || p.last.From < f.last.From {
			first[p.last.DataCentre] = p
		}
	}
	list := slices.Collect(maps.Values(first))
	slices.SortFunc(list, func(x, y *peer) int { return x.address.Compare(y.address) })
	return list
}

// turn returns the next fanout VMs, of the own data centre or of others.
func (b *Board) turn(at *int, fanout int, near bool) []*peer {
	all := b.sorted(near)
	if len(all) <= fanout {
		return all
	}
	chosen := make([]*peer, 0, fanout)
	for range fanout {
		*at = (*at + 1) % len(all)
		chosen = append(chosen, all[*at])
	}
	return chosen
}

// sorted returns the peers of the own data centre or of all others, those of
// which only the address is known among both.
func (b *Board) sorted(near bool) []*peer {
	var list []*peer
	for _, p := range b.peers {
		if p.last == nil || (p.last.DataCentre == b.o.DataCentre) == near {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *peer) int { return x.address.Compare(y.address) })
	return list
}

func (b *Board) beat(outs []Out, now time.Time, own Own, to []*peer) []Out {
	if len(to) == 0 {
		return outs
	}
	b.number++
	h := &Heartbeat{
		From: b.o.Self, DataCentre: b.o.DataCentre, Life: b.o.Life, Number: b.number,
		Leaving: own.Leaving, Blind: own.Blind, Held: own.Held, Loads: own.Loads, Peers: b.sample(now),
	}
	m := &Message{Heartbeat: h}
	for _, p := range to {
		outs = append(outs, Out{To: p.address, Message: m})
	}
	return outs
}

// sample returns a few VMs that were heard lately.
func (b *Board) sample(now time.Time) []netip.AddrPort {
	var heard []netip.AddrPort
	for _, p := range b.peers {
		if b.live(now, p) {
			heard = append(heard, p.address)
		}
	}
	slices.SortFunc(heard, netip.AddrPort.Compare)
	b.o.Rand.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
	return heard[:min(len(heard), maxPeers)]
}

func (b *Board) live(now time.Time, p *peer) bool {
	if p.last == nil {
		return false
	}
	turns := b.nearTurns
	if p.last.DataCentre != b.o.DataCentre {
		turns = b.farTurns
	}
	return now.Sub(p.heard) < b.o.Silent*time.Duration(max(1, turns))
}

// countTurns notes in how many rounds each VM gets its turn, here and, since all
// do the same, with the others.
func (b *Board) countTurns() {
	near, far := 0, 0
	for _, p := range b.peers {
		switch {
		case p.last == nil:
		case p.last.DataCentre == b.o.DataCentre:
			near++
		default:
			far++
		}
	}
	b.nearTurns = (near + b.o.NearFanout - 1) / b.o.NearFanout
	b.farTurns = (far + b.o.FarFanout - 1) / b.o.FarFanout
}

// forget drops VMs that were silent for long, but never a seed: a VM that was
// cut off for long has to find the others again.
func (b *Board) forget(now time.Time) {
	for address, p := range b.peers {
		if now.Sub(p.heard) >= b.o.Forget && !slices.Contains(b.o.Seeds, address) {
			delete(b.peers, address)
		}
	}
}

// Handle takes in a heartbeat. It returns false for one that is not newer than
// what is known of its sender.
func (b *Board) Handle(now time.Time, from netip.AddrPort, h *Heartbeat) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.From == b.o.Self {
		return false
	}
	p := b.peers[from]
	if p == nil {
		p = &peer{address: from}
		b.peers[from] = p
	}
	if p.last != nil && !newer(h, p.last) {
		return false
	}
	p.last, p.heard = h, now
	b.meet(now, h.Peers)
	return true
}

func newer(h, last *Heartbeat) bool {
	if h.From != last.From {
		return h.Life >= last.Life
	}
	return h.Life > last.Life || h.Life == last.Life && h.Number > last.Number
}

// Rank is the place of a VM among those that may read the store.
type Rank struct {
	// Near is the number of VMs of the own data centre that come before it.
	Near int
	// Far is the number of other data centres whose first VM comes before it.
	Far int
}

// First tells whether no VM comes before.
func (r Rank) First() bool { return r == Rank{} }

// Rank returns the place of this VM. VMs that leave come before nobody, and VMs
// that cannot read the store before none that can; blind is set if this one
// cannot. Of those that cannot, too, only a few should go on trying.
func (b *Board) Rank(now time.Time, blind bool) Rank {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rank Rank
	before := make(map[string]bool)
	for _, p := range b.peers {
		if !b.live(now, p) || p.last.Leaving || p.last.Blind && !blind {
			continue
		}
		if p.last.From >= b.o.Self && p.last.Blind == blind {
			continue
		}
		if p.last.DataCentre == b.o.DataCentre {
			rank.Near++
			continue
		}
		before[p.last.DataCentre] = true
	}
	rank.Far = len(before)
	return rank
}

// Live returns the number of live VMs of each data centre, this one not counted.
// Another data centre of which no VM was heard for FarSilent has none.
func (b *Board) Live(now time.Time) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	live := make(map[string]int)
	heard := make(map[string]bool)
	for _, p := range b.peers {
		if b.live(now, p) {
			live[p.last.DataCentre]++
			heard[p.last.DataCentre] = heard[p.last.DataCentre] || now.Sub(p.heard) < b.o.FarSilent
		}
	}
	for dc := range live {
		if dc != b.o.DataCentre && !heard[dc] {
			delete(live, dc)
		}
	}
	return live
}

// Confirmed returns how long ago the store was known to hold nothing newer than
// the content with the given checksum, by the word of a live VM that holds it
// too. ok is false if none does.
func (b *Board) Confirmed(now time.Time, kind Kind, sum uint64) (age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if !b.live(now, p) || p.last.Held[kind].Version == 0 || p.last.Held[kind].Sum != sum {
			continue
		}
		a := p.last.Held[kind].Age() + now.Sub(p.heard)
		if !ok || a < age {
			age, ok = a, true
		}
	}
	return age, ok
}

// Newer returns a live VM that holds a newer version with another content, one
// of the own data centre if there is one; of several with the newest, any.
func (b *Board) Newer(now time.Time, kind Kind, version, sum uint64) (from netip.AddrPort, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, near := range []bool{true, false} {
		same := 0
		for _, p := range b.sorted(near) {
			held := Held{}
			if b.live(now, p) {
				held = p.last.Held[kind]
			}
			switch {
			case held.Version < version || held.Version == version && !ok || held.Sum == sum:
				continue
			case held.Version > version:
				same = 0
			}
			same++
			if version, ok = held.Version, true; b.o.Rand.IntN(same) == 0 {
				from = p.address
			}
		}
		if ok {
			break
		}
	}
	return from, ok
}

// Loads returns what the live VMs say of targets: the requests of all, and the
// most flows that any VM of the own data centre found unanswered. What VMs
// elsewhere find may be their path to the target.
func (b *Board) Loads(now time.Time) map[baobabstep.TargetID]baobabstep.TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[baobabstep.TargetID]baobabstep.TargetLoad)
	for _, p := range b.peers {
		if !b.live(now, p) {
			continue
		}
		for _, l := range p.last.Loads {
			sum := loads[l.Target]
			sum.Requests += float64(l.Tenths) / tenths
			if p.last.DataCentre == b.o.DataCentre {
				sum.Unanswered = max(sum.Unanswered, int(l.Unanswered))
				sum.Opens = max(sum.Opens, int(l.Opens))
				if at := p.heard.Add(-time.Duration(l.HeardMS) * time.Millisecond); l.HeardMS > 0 && at.After(sum.HeardAt) {
					sum.HeardAt = at
				}
			}
			loads[l.Target] = sum
		}
	}
	return loads
}

// maxHeard is the greatest HeardMS.
const maxHeard = 1<<16 - 1

// maxCount is the greatest count of flows that a Load says.
const maxCount = 255

// tenths is the number of units of Load.Tenths in a request.
const tenths = 10

// MakeLoads returns what a heartbeat says of targets: of the most loaded ones,
// where there are too many, and always of those that leave flows unanswered, or
// do so by the word of others.
func MakeLoads(now time.Time, own []baobabstep.TargetLoad) []Load {
	loads := make([]Load, 0, len(own))
	for _, l := range own {
		load := Load{
			Target: l.Target, Tenths: uint32(l.Requests * tenths),
			Unanswered: uint8(min(l.Unanswered, maxCount)), Opens: uint8(min(l.Opens, maxCount)),
		}
		if l.Disputed && !l.HeardAt.IsZero() {
			load.HeardMS = uint16(min(max(1, now.Sub(l.HeardAt).Milliseconds()), maxHeard))
		}
		if load.Tenths > 0 || load.Unanswered > 0 || load.HeardMS > 0 {
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Unanswered, a.Unanswered), cmp.Compare(b.HeardMS, a.HeardMS), cmp.Compare(b.Tenths, a.Tenths), cmp.Compare(a.Target, b.Target))
	})
	return loads[:min(len(loads), maxLoads)]
}
