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

// Options are the settings of a [PeerTable]. A zero value selects the default, which is
// given in parentheses.
type Options struct {
	Self       baobabstep.VMID
	DataCentre string
	Address    netip.AddrPort
	// Incarnation is the start time of this VM, in milliseconds.
	Incarnation uint64
	// Seeds are the addresses of the VMs that are contacted first.
	Seeds []netip.AddrPort
	Rand  *rand.Rand

	// NearInterval and FarInterval are the times between two heartbeats to a VM of the own
	// and of another data centre (200 ms, 500 ms). Traffic between data centres costs
	// money.
	NearInterval, FarInterval time.Duration
	// NearFanout and FarFanout limit the VMs that get a heartbeat in one such interval (8,
	// 6). Larger fleets take turns.
	NearFanout, FarFanout int
	// AnnounceFanout limits the VMs of the own data centre that get an unscheduled
	// heartbeat (4).
	AnnounceFanout int
	// PeerTimeout is the silence after which a VM is no longer live (700 ms, three
	// heartbeats and a half). Where VMs take turns, it is multiplied by the number of
	// rounds between two turns.
	PeerTimeout time.Duration
	// DataCentreTimeout is the silence of all its VMs after which another data centre is
	// unreachable (1 s). It is longer for data centres whose heartbeats arrive rarely; see
	// farTimeout.
	DataCentreTimeout time.Duration
	// RemovalTimeout is the silence after which a VM gets no more heartbeats (30 s). It
	// exceeds the duration of partitions that heal, so that both sides find each other
	// again.
	RemovalTimeout time.Duration
}

func (o *Options) setDefaults() {
	o.NearInterval = cmp.Or(o.NearInterval, 200*time.Millisecond)
	o.FarInterval = cmp.Or(o.FarInterval, 500*time.Millisecond)
	o.NearFanout = cmp.Or(o.NearFanout, 8)
	o.FarFanout = cmp.Or(o.FarFanout, 6)
	o.AnnounceFanout = cmp.Or(o.AnnounceFanout, 4)
	o.PeerTimeout = cmp.Or(o.PeerTimeout, 700*time.Millisecond)
	o.DataCentreTimeout = cmp.Or(o.DataCentreTimeout, time.Second)
	o.RemovalTimeout = cmp.Or(o.RemovalTimeout, 30*time.Second)
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      netip.AddrPort
	Message *Message
}

// peer is the state of another VM.
type peer struct {
	address netip.AddrPort
	// last is the latest heartbeat, or nil if only the address is known.
	last *Heartbeat
	// lastHeard is when last was received, or when the address was learned if last is nil.
	lastHeard time.Time
	// loadsCounted is set if loadSums contains the loads of last.
	loadsCounted bool
	// reports are the silence reports from the latest of its heartbeats and alarms, and
	// alarmSequence is the number of its latest alarm.
	reports       map[baobabstep.TargetID]silenceReport
	alarmSequence uint64
	// congestedAt is when its link was last congested, by the latest of its messages.
	congestedAt time.Time
}

// PeerTable contains the other VMs and their latest heartbeats. It is safe for concurrent
// use.
type PeerTable struct {
	options Options
	mu      sync.Mutex
	// peers are the known VMs by address. A VM that was replaced at the same address is
	// the same peer with another incarnation number.
	peers map[netip.AddrPort]*peer
	// sequence is the sequence number of the latest message.
	sequence uint64
	// nearRound and farRound are the rounds of the latest heartbeats.
	nearRound, farRound int64
	// nearTurns and farTurns are the numbers of rounds in which each VM of the own data
	// centre, and each of all others, gets one heartbeat.
	nearTurns, farTurns int
	// newPeers are the VMs that started, were first heard or report that they hear no
	// other since the last round, and have not been answered.
	newPeers []*peer
	// fanouts are the current numbers of VMs that get a heartbeat in a round.
	fanouts fanouts
	// answerLimiter limits the heartbeats that AnswerNewPeers returns.
	answerLimiter *rate.Limiter
	// nearVMs is the number of known peers in the own data centre.
	nearVMs int
	// loadSums are the summed loads of the live VMs.
	loadSums targetSums
	// changedTargets are the targets whose loads may differ from what Loads last returned.
	changedTargets map[baobabstep.TargetID]struct{}
	// alarmLimiter limits the bytes of alarms.
	alarmLimiter *rate.Limiter
	// inquiryLimiter limits the bytes of inquiries.
	inquiryLimiter *rate.Limiter
	// lastNewNearPeer is when a VM of the own data centre was first heard, initially the
	// start time, and view is the latest result of View.
	lastNewNearPeer time.Time
	view            *quota.View
	// lastHeard is when a heartbeat was last received, initially the start time.
	lastHeard time.Time
	// started is when the table was created, and unseenSeeds are the seeds that neither
	// this nor another VM has heard since.
	started     time.Time
	unseenSeeds map[netip.AddrPort]bool
	// congestedAt is when this VM's own link was last congested.
	congestedAt time.Time
}

// New returns a table that contains the seeds.
func New(now time.Time, o Options) *PeerTable {
	o.setDefaults()
	b := &PeerTable{
		options: o, peers: make(map[netip.AddrPort]*peer), loadSums: make(targetSums), changedTargets: make(map[baobabstep.TargetID]struct{}), alarmLimiter: rate.NewLimiter(alarmRate, alarmBurst), inquiryLimiter: rate.NewLimiter(alarmRate, alarmBurst), answerLimiter: rate.NewLimiter(answerRate, answerBurst),
		lastNewNearPeer: now, started: now, lastHeard: now, unseenSeeds: make(map[netip.AddrPort]bool),
	}
	for _, seed := range o.Seeds {
		b.unseenSeeds[seed] = true
	}
	b.fanouts = fanouts{near: o.NearFanout, far: o.FarFanout}
	delete(b.unseenSeeds, o.Address)
	b.addAddresses(now, o.Seeds)
	return b
}

// maxUnknownPeers limits the peers of which only the address is known. Without a limit, a
// VM would learn the addresses of all others at once when a whole fleet starts.
const maxUnknownPeers = 32

// addAddresses adds peers for addresses that are not yet known.
func (t *PeerTable) addAddresses(now time.Time, addresses []netip.AddrPort) {
	for _, a := range addresses {
		if a.IsValid() && a != t.options.Address && t.peers[a] == nil && len(t.unknownPeers()) < maxUnknownPeers {
			t.peers[a] = &peer{address: a, lastHeard: now}
		}
	}
}

// markSeedsSeen removes from unseenSeeds the sender of a heartbeat and the VMs that it has
// heard.
func (t *PeerTable) markSeedsSeen(from netip.AddrPort, heard []netip.AddrPort) {
	if len(t.unseenSeeds) == 0 {
		return
	}
	delete(t.unseenSeeds, from)
	for _, a := range heard {
		delete(t.unseenSeeds, a)
	}
}

// peersByAddress returns the peers that have sent a heartbeat, of the own data centre or
// of all others, sorted by address.
func (t *PeerTable) peersByAddress(near bool) []*peer {
	return t.filterPeers(func(p *peer) bool { return p.last != nil && (p.last.DataCentre == t.options.DataCentre) == near })
}

// unknownPeers returns the peers of which only the address is known, sorted by address.
func (t *PeerTable) unknownPeers() []*peer {
	return t.filterPeers(func(p *peer) bool { return p.last == nil })
}

// filterPeers returns the peers that match, sorted by address.
func (t *PeerTable) filterPeers(match func(*peer) bool) (list []*peer) {
	for _, p := range t.peers {
		if match(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *peer) int { return x.address.Compare(y.address) })
	return list
}

// isLive reports whether a heartbeat of the peer was received within its timeout.
func (t *PeerTable) isLive(now time.Time, p *peer) bool {
	if p.last == nil {
		return false
	}
	turns, interval := t.nearTurns, t.options.NearInterval
	if p.last.DataCentre != t.options.DataCentre {
		turns, interval = t.farTurns, t.options.FarInterval
	}
	if turn := p.last.turn(); turn > 0 {
		turns = int(turn / interval)
	}
	return now.Sub(p.lastHeard) < t.options.PeerTimeout*time.Duration(max(1, turns))
}

// updateTurns updates the numbers of rounds between two turns. The same numbers are
// assumed for VMs that do not report theirs.
func (t *PeerTable) updateTurns() {
	near, far := 0, 0
	for _, p := range t.peers {
		switch {
		case p.last == nil:
		case p.last.DataCentre == t.options.DataCentre:
			near++
		default:
			far++
		}
	}
	t.nearVMs = near
	t.nearTurns = (near + t.fanouts.near - 1) / t.fanouts.near
	t.farTurns = (far + t.fanouts.far - 1) / t.fanouts.far
}

// minMissedTurns is the least number of missed turns after which a VM is dropped. In a
// fleet of hundreds of VMs a turn takes 20 s and more.
const minMissedTurns = 3

// dropSilentPeers removes VMs that were silent for long. Seeds remain, so that a VM that
// was partitioned for long finds the others again.
func (t *PeerTable) dropSilentPeers(now time.Time) {
	for address, p := range t.peers {
		if now.Sub(p.lastHeard) >= t.dropTimeout(p) && !slices.Contains(t.options.Seeds, address) {
			t.setLoadsCounted(p, false)
			delete(t.peers, address)
		}
	}
}

// unknownTimeout is how long a VM of which only the address is known is kept without an
// answer.
const unknownTimeout = 5 * time.Second

// dropTimeout returns the silence after which a VM is removed.
func (t *PeerTable) dropTimeout(p *peer) time.Duration {
	if p.last == nil {
		return unknownTimeout
	}
	return max(t.options.RemovalTimeout, minMissedTurns*time.Duration(t.farTurns)*t.options.FarInterval, minMissedTurns*p.last.turn())
}

// Handle processes a heartbeat. It returns false if the heartbeat is not newer than the
// latest one of its sender.
func (t *PeerTable) Handle(now time.Time, from netip.AddrPort, h *Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.From == t.options.Self {
		return false
	}
	p := t.peers[from]
	if p == nil {
		p = &peer{address: from}
		t.peers[from] = p
	}
	if p.last != nil && !isNewer(h, p.last) {
		return false
	}
	t.setLoadsCounted(p, false)
	if p.last == nil && h.DataCentre == t.options.DataCentre {
		t.lastNewNearPeer = now
	}
	newIncarnation := p.last == nil || h.Incarnation != p.last.Incarnation
	if newIncarnation {
		p.alarmSequence = 0
	}
	if newIncarnation || len(h.Peers) == 0 { // the sender hears no VM
		t.addNewPeer(p)
	}
	if newIncarnation || h.Sequence > p.alarmSequence {
		t.markReportsChanged(p)
		p.reports, p.congestedAt = makeSilenceReports(now, h.Loads), congestedAt(now, h.CongestedMS)
	}
	p.last, p.lastHeard, t.lastHeard = h, now, now
	t.setLoadsCounted(p, true)
	t.addAddresses(now, h.Peers)
	t.markSeedsSeen(from, h.Peers)
	return true
}

const (
	// maxNewPeers limits the VMs that wait for an answer to their first heartbeat.
	maxNewPeers = 64
	// answerRate, in answers per second, and answerBurst limit AnswerNewPeers.
	answerRate, answerBurst = 50, 64
)

// addNewPeer queues a VM that has started, is heard for the first time or hears no other for
// an answer. If a fleet starts, the seeds cannot answer all VMs at once; those that get no
// answer are queued again with their next heartbeats.
func (t *PeerTable) addNewPeer(p *peer) {
	if len(t.newPeers) < maxNewPeers && !slices.Contains(t.newPeers, p) {
		t.newPeers = append(t.newPeers, p)
	}
}

// isNewer reports whether h is newer than the latest heartbeat of the same address.
func isNewer(h, last *Heartbeat) bool {
	if h.From != last.From {
		return h.Incarnation >= last.Incarnation
	}
	return h.Incarnation > last.Incarnation || h.Incarnation == last.Incarnation && h.Sequence > last.Sequence
}
