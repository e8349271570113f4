package heartbeat

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"baobabstep"
	"baobabstep/core/quota"
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
	// is out of reach (1 s), or some mean gaps where it is heard so seldom
	// that these are longer.
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
	// counted says that the tally holds the loads of last.
	counted bool
	// reports are what it says of silent targets, the newest of last and of its
	// alarms, and alarmed the number of the last of those.
	reports map[baobabstep.TargetID]report
	alarmed uint64
}

// Board keeps what this VM knows of the others. It is safe for concurrent use.
type Board struct {
	o  Options
	mu sync.Mutex
	// peers are the VMs heard of, by address: a VM that was replaced at the
	// same address is the same peer with another life.
	peers  map[netip.AddrPort]*peer
	number uint64
	// nearRound and farRound are the rounds of the last heartbeats.
	nearRound, farRound int64
	// nearTurns and farTurns are the rounds of heartbeats in which each VM of
	// the own data centre and of others gets one.
	nearTurns, farTurns int
	// newPeers are the VMs that started, or were first heard, since the last round, and
	// have not been answered.
	newPeers []*peer
	// fanouts are the current numbers of VMs that get a heartbeat in a round.
	fanouts fanouts
	// answers limits the heartbeats that AnswerNewPeers returns.
	answers *rate.Limiter
	// nearVMs is the number of known peers in the own data centre.
	nearVMs int
	tally   tally
	// changed are the targets whose loads may differ from what Loads last returned.
	changed map[baobabstep.TargetID]struct{}
	// alarms bounds the bytes of alarms.
	alarms *rate.Limiter
	// metAt is when a VM of the own data centre was heard for the first time, or
	// the start, and view what View returned last.
	metAt time.Time
	view  *quota.View
	// started is when the board was made, and unseen are the seeds that no VM was
	// heard to hear since.
	started time.Time
	unseen  map[netip.AddrPort]bool
}

// New returns a board that knows the seeds.
func New(now time.Time, o Options) *Board {
	o.setDefaults()
	b := &Board{
		o: o, peers: make(map[netip.AddrPort]*peer), tally: make(tally), changed: make(map[baobabstep.TargetID]struct{}), alarms: rate.NewLimiter(alarmRate, alarmBurst), answers: rate.NewLimiter(answerRate, answerBurst),
		metAt: now, started: now, unseen: make(map[netip.AddrPort]bool),
	}
	for _, seed := range o.Seeds {
		b.unseen[seed] = true
	}
	b.fanouts = fanouts{near: o.NearFanout, far: o.FarFanout}
	delete(b.unseen, o.Address)
	b.meet(now, o.Seeds)
	return b
}

// maxUnknownPeers limits the peers of which only the address is known. Without a limit, a
// VM would learn the addresses of all others at once when a whole fleet starts.
const maxUnknownPeers = 32

// meet takes in addresses of VMs that this one does not know yet.
func (b *Board) meet(now time.Time, addresses []netip.AddrPort) {
	for _, a := range addresses {
		if a.IsValid() && a != b.o.Address && b.peers[a] == nil && len(b.unknown()) < maxUnknownPeers {
			b.peers[a] = &peer{address: a, heard: now}
		}
	}
}

// see notes seeds that are heard, here or by another VM.
func (b *Board) see(from netip.AddrPort, heard []netip.AddrPort) {
	if len(b.unseen) == 0 {
		return
	}
	delete(b.unseen, from)
	for _, a := range heard {
		delete(b.unseen, a)
	}
}

// sorted returns the peers that have sent a heartbeat, of the own data centre or of all
// others, sorted by address.
func (b *Board) sorted(near bool) []*peer {
	return b.filterPeers(func(p *peer) bool { return p.last != nil && (p.last.DataCentre == b.o.DataCentre) == near })
}

// unknown returns the peers of which only the address is known, sorted by address.
func (b *Board) unknown() []*peer {
	return b.filterPeers(func(p *peer) bool { return p.last == nil })
}

// filterPeers returns the peers that match, sorted by address.
func (b *Board) filterPeers(match func(*peer) bool) (list []*peer) {
	for _, p := range b.peers {
		if match(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *peer) int { return x.address.Compare(y.address) })
	return list
}

func (b *Board) live(now time.Time, p *peer) bool {
	if p.last == nil {
		return false
	}
	turns, interval := b.nearTurns, b.o.Near
	if p.last.DataCentre != b.o.DataCentre {
		turns, interval = b.farTurns, b.o.Far
	}
	if turn := p.last.turn(); turn > 0 {
		turns = int(turn / interval)
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
	b.nearVMs = near
	b.nearTurns = (near + b.fanouts.near - 1) / b.fanouts.near
	b.farTurns = (far + b.fanouts.far - 1) / b.fanouts.far
}

// forgetTurns is how many turns a VM may miss before it is forgotten: in a fleet
// of hundreds a turn is 20 s and more.
const forgetTurns = 3

// forget drops VMs that were silent for long, but never a seed: a VM that was
// cut off for long has to find the others again.
func (b *Board) forget(now time.Time) {
	for address, p := range b.peers {
		if now.Sub(p.heard) >= b.forgetAfter(p) && !slices.Contains(b.o.Seeds, address) {
			b.count(p, false)
			delete(b.peers, address)
		}
	}
}

// unknownTimeout is how long a VM of which only the address is known is kept without an
// answer.
const unknownTimeout = 5 * time.Second

// forgetAfter returns the silence after which a VM is forgotten.
func (b *Board) forgetAfter(p *peer) time.Duration {
	if p.last == nil {
		return unknownTimeout
	}
	return max(b.o.Forget, forgetTurns*time.Duration(b.farTurns)*b.o.Far, forgetTurns*p.last.turn())
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
	b.count(p, false)
	if p.last == nil && h.DataCentre == b.o.DataCentre {
		b.metAt = now
	}
	newLife := p.last == nil || h.Life != p.last.Life
	if newLife {
		p.alarmed = 0
		b.addNewPeer(p)
	}
	if newLife || h.Number > p.alarmed {
		b.markReportsChanged(p)
		p.reports = makeReports(now, h.Loads)
	}
	p.last, p.heard = h, now
	b.count(p, true)
	b.meet(now, h.Peers)
	b.see(from, h.Peers)
	return true
}

const (
	// maxNewPeers limits the VMs that wait for an answer to their first heartbeat.
	maxNewPeers = 64
	// answerRate, in answers a second, and answerBurst limit AnswerNewPeers.
	answerRate, answerBurst = 50, 64
)

// addNewPeer queues a VM that has started, or is heard for the first time, for an answer.
func (b *Board) addNewPeer(p *peer) {
	if len(b.newPeers) < maxNewPeers && !slices.Contains(b.newPeers, p) {
		b.newPeers = append(b.newPeers, p)
	}
}

func newer(h, last *Heartbeat) bool {
	if h.From != last.From {
		return h.Life >= last.Life
	}
	return h.Life > last.Life || h.Life == last.Life && h.Number > last.Number
}
