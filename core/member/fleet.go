// Package member keeps the membership of the fleet: which VMs exist, which of
// them answer, and the view that follows. It is pure: messages come in as
// bytes, messages to send go out as [Out], the present time is an argument.
//
// # The model
//
// Each VM is described by an entry that only the VM itself may renew. An entry
// has an incarnation, and of two entries about one VM the one with the higher
// incarnation is right; within an incarnation, the later state is right: alive,
// suspect, leaving, dead. Clocks are never compared. A VM that hears itself
// called suspect or dead refutes with a higher incarnation.
//
// Inside a data centre each VM probes one other after the other. One that does
// not answer, neither itself nor by way of others, is suspect; a suspect that
// does not refute in time is dead:
//
//	alive --probe missed--> suspect --timeout--> dead
//	  ^------- refutation -----/                  |
//	  ^------- return with a higher incarnation --/
//
// Between data centres nobody is probed. A few relays, chosen by rendezvous
// from the view, exchange news of their data centre and its beat, a counter
// that grows while any of its VMs lives. A data centre whose beat stops is
// suspect as a whole: that judgement is local, is not gossiped, and ends by
// itself when the beat is heard again.
//
// News spreads on probes and in bounded gossip; what gossip missed is found by
// comparing digests. The platform's list only names VMs to contact. The files
// follow the model: record.go and merge.go for entries, probe.go, gossip.go,
// sync.go, relay.go, pause.go, and view.go for what the rest of the program sees.
package member

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
)

// Out is one message to send.
type Out struct {
	// To is 0 for a seed of which only the address is known.
	To baobabstep.VMID
	// Address is the peer address of To, for VMs that the peers port may not
	// know yet. It is not valid in an answer to a VM not known here either.
	Address netip.AddrPort
	Body    []byte
}

// Stats counts what a [Fleet] did since it started.
type Stats struct {
	MessagesIn, MessagesOut uint64
	// BytesIn and BytesOut count message bodies.
	BytesIn, BytesOut uint64
	// Malformed counts messages and entries that were not understood.
	Malformed uint64
	// Suspicions counts the VMs that this VM found silent itself.
	Suspicions uint64
	// Lost counts connections to VMs of the own data centre that ended
	// unexpectedly.
	Lost uint64
	// Refutations counts the times this VM was called suspect or dead.
	Refutations uint64
	// Deaths counts VMs that this VM declared dead.
	Deaths uint64
	Pauses uint64
	// Saved counts messages not sent since the budget for gossip was spent.
	Saved uint64
	// DuplicateNames counts signs that another process uses this VM's name.
	DuplicateNames uint64
	// Known is the number of VMs known, the dead not counted.
	Known int
	// SilentDataCentres is the number of data centres not heard of now.
	SilentDataCentres int
}

// Fleet is the membership as one VM sees it. It is safe for concurrent use.
type Fleet struct {
	start time.Time
	o     Options
	// ticked is the time of the last tick since start; view the last view
	// built, and stale tells that it has to be built anew. They are read
	// without the lock, since the data path asks for the view all the time.
	ticked atomic.Int64
	view   atomic.Pointer[baobabstep.View]
	stale  atomic.Bool

	mu    sync.Mutex
	rand  *rand.Rand
	stats Stats
	// now is the latest time seen. A time before it counts as it.
	now time.Time
	seq uint64

	me          *record
	known       map[baobabstep.VMID]*record
	dataCentres map[uint64]*dataCentre
	// sorted are the data centres by key, so that runs can be repeated.
	sorted []*dataCentre
	own    *dataCentre
	// candidates are VMs that the list names and nobody has spoken of yet.
	candidates map[baobabstep.VMID]baobabstep.VM
	// changes numbers the changes of records; see [record.changed].
	changes uint64
	racks   map[string]string

	probe       probe
	probeQueue  []*record
	nextProbe   time.Time
	forwarded   map[uint64]forwarded
	nextContact time.Time

	news       []*record
	nextGossip time.Time
	nextSync   time.Time
	budget     budget

	rolesAt   uint64 // value of changes when the roles were last computed
	nextRelay time.Time

	pause pause
	// duplicate tracks other processes with this VM's name.
	duplicate duplicate
	nextSweep time.Time
}

// New returns a fleet that knows only its own VM.
func New(now time.Time, o Options) *Fleet {
	o.setDefaults(now)
	f := &Fleet{
		start:       now,
		now:         now,
		o:           o,
		rand:        o.Rand,
		known:       make(map[baobabstep.VMID]*record),
		dataCentres: make(map[uint64]*dataCentre),
		candidates:  make(map[baobabstep.VMID]baobabstep.VM),
		racks:       make(map[string]string),
		forwarded:   make(map[uint64]forwarded),
	}
	f.seq = uint64(f.rand.Uint32())
	f.budget = budget{rate: o.GossipBytesPerSecond, tokens: float64(2 * o.GossipBytesPerSecond), at: now}
	self := o.Self
	self.Incarnation = max(self.Incarnation, 1)
	self.State = baobabstep.VMAlive
	f.me = f.add(now, self, f.rand.Uint64())
	f.own = f.me.dataCentre
	f.nextProbe = now.Add(f.jitter(o.ProbeInterval))
	f.nextRelay = now.Add(f.jitter(o.ProbeInterval))
	f.nextSync = now.Add(f.jitter(o.SyncInterval))
	f.pause = pause{starting: true}
	return f
}

func (f *Fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d)))
}

// Tick does what is due and returns what to send. Call it every 100 ms.
func (f *Fleet) Tick(now time.Time) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	if stall := f.gap(f.now); stall > f.o.ProbeInterval {
		f.forgive(stall)
	}
	f.ticked.Store(int64(f.now.Sub(f.start)))
	f.pause.wall = f.now.Round(0)
	f.rejoin()
	var out []Out
	f.judgeDataCentres()
	f.judgeSuspects(&out)
	f.probeNext(&out)
	f.contact(&out)
	f.relay(&out)
	f.compare(&out)
	f.gossip(&out)
	f.sweep()
	return out
}

// Handle takes one message from an authenticated peer and returns the answers.
// A message that cannot be understood is counted and dropped.
func (f *Fleet) Handle(now time.Time, from baobabstep.VMID, body []byte) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	f.stats.MessagesIn++
	f.stats.BytesIn += uint64(len(body))
	m, err := decode(body)
	if err != nil {
		f.stats.Malformed++
		return nil
	}
	if from == f.me.vm.ID {
		f.sawDuplicate()
		return nil
	}
	var out []Out
	f.learn(from, m)
	f.answer(&out, from, m)
	return out
}

// learn takes in what any message tells.
func (f *Fleet) learn(from baobabstep.VMID, m *message) {
	sender := f.known[from]
	local := sender != nil && sender.dataCentre == f.own
	for i := range m.News {
		f.merge(&m.News[i], m.Kind == kindEntries && local)
	}
	sender = f.known[from]
	if sender != nil {
		f.learnHeader(sender, m)
	}
	if m.PeerIncarnation > f.me.vm.Incarnation {
		f.hearOfOther(m.PeerIncarnation)
	}
	f.learnBeats(sender, m.Beats)
}

// learnHeader takes what the sender says of itself without a whole entry.
func (f *Fleet) learnHeader(sender *record, m *message) {
	sender.acked = m.PeerIncarnation
	if sender.nonce != m.Nonce {
		return // another process; its entry will follow
	}
	f.trust(sender)
	if sender.vm.State == baobabstep.VMLeaving {
		sender.since = time.Time{}
	}
	vm := sender.vm
	vm.Incarnation, vm.State, vm.Joining = m.Incarnation, m.State, m.Joining
	if m.Incarnation < maxIncarnation && supersedes(vm, m.Nonce, sender) {
		f.update(sender, vm, m.Nonce)
	}
}

// answer sends what the message asks for. A sender whose idea of itself is
// older than what is known here is told so, whatever it sent: it may have
// started anew, or be called dead without knowing it.
func (f *Fleet) answer(out *[]Out, from baobabstep.VMID, m *message) {
	switch m.Kind {
	case kindPing:
		reply := f.reply(from, m)
		reply.Kind, reply.Seq = kindAck, m.Seq
		reply.News = append(reply.News, f.takeNews(maxPiggyback)...)
		reply.Beats = f.beats()
		f.sendTo(out, from, reply)
		return
	case kindAck:
		f.acknowledge(out, from, m)
	case kindPingRequest:
		f.forwardProbe(out, from, m)
	case kindSync:
		f.answerSync(out, from, m)
	case kindSummary:
		f.answerSummary(out, from, m)
	case kindEntries:
		f.answerWanted(out, from, m)
	case kindRelay:
		reply := f.reply(from, m)
		reply.Kind, reply.Seq = kindRelayAck, m.Seq
		reply.Beats = f.beats()
		f.sendTo(out, from, reply)
		f.answerSync(out, from, m)
		return
	case kindRelayAck:
		f.relayAcknowledged(from, m)
	case kindGossip:
	}
	f.correct(out, from, m)
}

// correct tells a VM that is not waiting for an answer that its idea of itself
// is old. Two VMs that correct each other would do so at the speed of the
// network, so each is corrected only once in a while.
func (f *Fleet) correct(out *[]Out, from baobabstep.VMID, m *message) {
	r := f.known[from]
	if r == nil || !r.isNewer(m) || f.now.Before(r.nextCorrection) {
		return
	}
	r.nextCorrection = f.now.Add(f.o.ProbeTimeout)
	f.sendTo(out, from, message{Kind: kindGossip, News: []entry{r.entry()}, PeerIncarnation: r.vm.Incarnation})
}

// reply returns an answer with what the sender has to be told anyway.
func (f *Fleet) reply(from baobabstep.VMID, m *message) message {
	var reply message
	if m.PeerIncarnation != f.me.vm.Incarnation {
		reply.News = append(reply.News, f.me.entry())
	}
	sender := f.known[from]
	if sender != nil && sender.isNewer(m) {
		reply.News = append(reply.News, sender.entry())
	}
	if sender != nil && sender.nonce == m.Nonce {
		reply.PeerIncarnation = sender.vm.Incarnation
	}
	return reply
}

// send encodes a message for a known VM.
func (f *Fleet) send(out *[]Out, to *record, m message) {
	m.PeerIncarnation = to.vm.Incarnation
	if to.acked != f.me.vm.Incarnation {
		m.News = append(m.News, f.me.entry())
	}
	o := Out{To: to.vm.ID, Address: to.vm.PeerAddress}
	if to.vm.Name == "" {
		o.To = 0
	}
	f.emit(out, o, m)
}

// sendTo encodes an answer, to a VM that need not be known.
func (f *Fleet) sendTo(out *[]Out, to baobabstep.VMID, m message) {
	o := Out{To: to}
	if r := f.known[to]; r != nil {
		o.Address = r.vm.PeerAddress
	}
	f.emit(out, o, m)
}

func (f *Fleet) emit(out *[]Out, o Out, m message) {
	m.Incarnation, m.Nonce, m.State = f.me.vm.Incarnation, f.me.nonce, f.me.vm.State
	m.Joining = f.me.vm.Joining
	o.Body = encode(&m)
	f.stats.MessagesOut++
	f.stats.BytesOut += uint64(len(o.Body))
	*out = append(*out, o)
}

func (f *Fleet) nextSeq() uint64 {
	f.seq++
	return f.seq
}

// Join announces that the VM takes roles from now on. It does nothing unless
// Options.Self was joining.
func (f *Fleet) Join(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	if !f.me.vm.Joining {
		return
	}
	vm := f.me.vm
	vm.Joining = false
	vm.Incarnation++
	f.update(f.me, vm, f.me.nonce)
}

// Leave announces a planned stop. Go on calling Tick and Handle until the VM
// has handed over what it holds.
func (f *Fleet) Leave(now time.Time) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	vm := f.me.vm
	vm.State = baobabstep.VMLeaving
	vm.Incarnation++
	f.update(f.me, vm, f.me.nonce)
	var out []Out
	for _, r := range f.pick(f.own, maxLeaveMessages, alive) {
		f.send(&out, r, message{Kind: kindGossip, News: []entry{f.me.entry()}})
	}
	for _, d := range f.sorted {
		if d == f.own {
			continue
		}
		for _, r := range f.pick(d, 1, alive) {
			f.send(&out, r, message{Kind: kindGossip, News: []entry{f.me.entry()}})
		}
	}
	return out
}

// maxLeaveMessages bounds the VMs of the own data centre that are told of a
// planned stop at once; gossip tells the others.
const maxLeaveMessages = 8

// Stats returns the counters.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	for _, d := range f.sorted {
		for _, r := range d.records {
			if r.vm.State != baobabstep.VMDead {
				s.Known++
			}
		}
		if d.silent {
			s.SilentDataCentres++
		}
	}
	return s
}
