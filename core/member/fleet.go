// Package member implements the membership protocol of the fleet: it tracks which
// VMs exist and which of them respond, and derives the view from that. It does no
// I/O: received messages are passed in as bytes, messages to send are returned as
// [Out], and the current time is an argument.
//
// # The model
//
// Each VM is described by an entry that only the VM itself may renew. Of two
// entries for one VM, the one with the higher incarnation wins; within an
// incarnation, the later state wins: alive, suspect, leaving, dead. Clocks of
// different VMs are never compared. A VM that receives an entry naming it suspect
// or dead refutes it with a higher incarnation.
//
// Inside a data centre each VM probes the others in turn. A VM that answers neither
// directly nor through other VMs becomes suspect; a suspect that does not refute
// in time is declared dead:
//
//	alive --probe missed--> suspect --timeout--> dead
//	  ^------- refutation -----/                  |
//	  ^------- return with a higher incarnation --/
//
// VMs of other data centres are not probed. A few relays, chosen by rendezvous
// hashing over the view, exchange news of their data centre and its beat, a counter
// that grows while any of its VMs runs. A data centre whose beat stops is
// treated as suspect as a whole. Each VM decides this locally; it is not gossiped
// and ends when the beat grows again.
//
// News spreads on probes and in rate-limited gossip; comparing digests repairs what
// gossip missed. The platform's list only names VMs to contact. The files
// follow the model: record.go and merge.go for entries, probe.go, gossip.go,
// sync.go, relay.go, pause.go, and view.go for what the rest of the program uses.
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
	// Address is the peer address of To, for VMs that the peer transport may not
	// know yet. It is invalid in an answer to an unknown VM.
	Address netip.AddrPort
	Body    []byte
}

// Stats counts events of a [Fleet] since it started.
type Stats struct {
	MessagesIn, MessagesOut uint64
	// BytesIn and BytesOut count bytes of message bodies.
	BytesIn, BytesOut uint64
	// Malformed counts messages and entries that failed to decode or validate.
	Malformed uint64
	// Suspicions counts the VMs that this VM itself found unresponsive.
	Suspicions uint64
	// Lost counts connections to VMs of the own data centre that ended
	// unexpectedly.
	Lost uint64
	// Refutations counts the times this VM was reported suspect or dead.
	Refutations uint64
	// Deaths counts VMs that this VM declared dead.
	Deaths uint64
	Pauses uint64
	// Saved counts messages not sent because the gossip budget was spent.
	Saved uint64
	// DuplicateNames counts signs that another process uses this VM's name.
	DuplicateNames uint64
	// Known is the number of known VMs that are not dead.
	Known int
	// SilentDataCentres is the number of data centres whose beat has stopped.
	SilentDataCentres int
}

// Fleet is the membership as one VM sees it. It is safe for concurrent use.
type Fleet struct {
	start   time.Time
	options Options
	// lastTick is the time of the last tick since start, view the last view
	// built, and viewStale is set when the view must be rebuilt. They are atomic
	// because the data path reads the view without the lock.
	lastTick  atomic.Int64
	view      atomic.Pointer[baobabstep.View]
	viewStale atomic.Bool

	mu    sync.Mutex
	rand  *rand.Rand
	stats Stats
	// now is the latest time seen. Earlier arguments do not move it back.
	now time.Time
	seq uint64

	self        *record
	known       map[baobabstep.VMID]*record
	dataCentres map[uint64]*dataCentre
	// sortedDataCentres holds the data centres by key, for deterministic iteration.
	sortedDataCentres []*dataCentre
	own               *dataCentre
	// candidates are listed VMs that no entry has described yet.
	candidates map[baobabstep.VMID]baobabstep.VM
	// changeCount numbers the changes of records; see [record.changeNumber].
	changeCount uint64
	racks       map[string]string

	probe           probe
	probeQueue      []*record
	nextProbe       time.Time
	forwardedProbes map[uint64]forwardedProbe
	nextContact     time.Time

	news       []*record
	nextGossip time.Time
	nextSync   time.Time
	budget     budget

	rolesChange uint64 // changeCount when the roles were last computed
	nextRelay   time.Time

	pause pause
	// duplicate tracks other processes with this VM's name.
	duplicate  duplicate
	nextForget time.Time
}

// New returns a fleet that knows only its own VM.
func New(now time.Time, o Options) *Fleet {
	o.setDefaults(now)
	f := &Fleet{
		start:           now,
		now:             now,
		options:         o,
		rand:            o.Rand,
		known:           make(map[baobabstep.VMID]*record),
		dataCentres:     make(map[uint64]*dataCentre),
		candidates:      make(map[baobabstep.VMID]baobabstep.VM),
		racks:           make(map[string]string),
		forwardedProbes: make(map[uint64]forwardedProbe),
	}
	f.seq = uint64(f.rand.Uint32())
	f.budget = budget{bytesPerSecond: o.GossipBytesPerSecond, tokens: float64(2 * o.GossipBytesPerSecond), refilledAt: now}
	self := o.Self
	self.Incarnation = max(self.Incarnation, 1)
	self.State = baobabstep.VMAlive
	f.self = f.add(now, self, f.rand.Uint64())
	f.own = f.self.dataCentre
	f.nextProbe = now.Add(f.jitter(o.ProbeInterval))
	f.nextRelay = now.Add(f.jitter(o.ProbeInterval))
	f.nextSync = now.Add(f.jitter(o.SyncInterval))
	f.pause = pause{starting: true}
	return f
}

func (f *Fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d)))
}

// Tick runs the due work and returns the messages to send. Call it every 100 ms.
func (f *Fleet) Tick(now time.Time) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	if stall := f.gap(f.now); stall > f.options.ProbeInterval {
		f.extendDeadlines(stall)
	}
	f.lastTick.Store(int64(f.now.Sub(f.start)))
	f.pause.lastTickWall = f.now.Round(0)
	f.endPauseAfterTimeout()
	var out []Out
	f.checkDataCentres()
	f.checkLocalVMs(&out)
	f.probeNext(&out)
	f.sendContactPings(&out)
	f.sendRelays(&out)
	f.startSync(&out)
	f.sendGossip(&out)
	f.forgetDead()
	return out
}

// Handle processes one message from an authenticated peer and returns the
// answers. A message that cannot be decoded is counted and dropped.
func (f *Fleet) Handle(now time.Time, from baobabstep.VMID, body []byte) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	f.stats.MessagesIn++
	f.stats.BytesIn += uint64(len(body))
	m, err := decode(body)
	if err != nil {
		f.stats.Malformed++
		return nil
	}
	if from == f.self.vm.ID {
		f.countDuplicate()
		return nil
	}
	var out []Out
	f.applyMessage(from, m)
	f.answer(&out, from, m)
	return out
}

// applyMessage applies the entries, header and beats of a message of any kind.
func (f *Fleet) applyMessage(from baobabstep.VMID, m *message) {
	sender := f.known[from]
	local := sender != nil && sender.dataCentre == f.own
	for i := range m.News {
		f.merge(&m.News[i], m.Kind == kindEntries && local)
	}
	sender = f.known[from]
	if sender != nil {
		f.applyHeader(sender, m)
	}
	if m.PeerIncarnation > f.self.vm.Incarnation {
		f.handleDuplicate(m.PeerIncarnation)
	}
	f.applyBeats(sender, m.Beats)
}

// applyHeader applies the sender's own state from the header, without an entry.
func (f *Fleet) applyHeader(sender *record, m *message) {
	sender.ackedIncarnation = m.PeerIncarnation
	if sender.nonce != m.Nonce {
		return // another process: wait for its entry
	}
	f.clearConnectionLoss(sender)
	if sender.vm.State == baobabstep.VMLeaving {
		sender.stateSince = time.Time{}
	}
	vm := sender.vm
	vm.Incarnation, vm.State, vm.Joining = m.Incarnation, m.State, m.Joining
	if m.Incarnation < maxIncarnation && supersedes(vm, m.Nonce, sender) {
		f.update(sender, vm, m.Nonce)
	}
}

// answer responds according to the message kind. A sender whose own state is older
// than its record here is corrected whatever it sent: it may have restarted, or
// may not know that it was declared dead.
func (f *Fleet) answer(out *[]Out, from baobabstep.VMID, m *message) {
	switch m.Kind {
	case kindPing:
		reply := f.newReply(from, m)
		reply.Kind, reply.Seq = kindAck, m.Seq
		reply.News = append(reply.News, f.takeNews(maxPiggyback)...)
		reply.Beats = f.beats()
		f.sendToID(out, from, reply)
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
		reply := f.newReply(from, m)
		reply.Kind, reply.Seq = kindRelayAck, m.Seq
		reply.Beats = f.beats()
		f.sendToID(out, from, reply)
		f.answerSync(out, from, m)
		return
	case kindRelayAck:
		f.relayAcknowledged(from, m)
	case kindGossip:
	}
	f.sendCorrection(out, from, m)
}

// sendCorrection sends a newer record of the sender to a sender that does not wait
// for an answer. Two VMs that correct each other would do so at network speed, so
// each is corrected at most once per ProbeTimeout.
func (f *Fleet) sendCorrection(out *[]Out, from baobabstep.VMID, m *message) {
	r := f.known[from]
	if r == nil || !r.isNewer(m) || f.now.Before(r.nextCorrection) {
		return
	}
	r.nextCorrection = f.now.Add(f.options.ProbeTimeout)
	f.sendToID(out, from, message{Kind: kindGossip, News: []entry{r.entry()}, PeerIncarnation: r.vm.Incarnation})
}

// newReply returns an answer with the entries of the two VMs that the sender lacks.
func (f *Fleet) newReply(from baobabstep.VMID, m *message) message {
	var reply message
	if m.PeerIncarnation != f.self.vm.Incarnation {
		reply.News = append(reply.News, f.self.entry())
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
	if to.ackedIncarnation != f.self.vm.Incarnation {
		m.News = append(m.News, f.self.entry())
	}
	o := Out{To: to.vm.ID, Address: to.vm.PeerAddress}
	if to.vm.Name == "" {
		o.To = 0
	}
	f.encodeTo(out, o, m)
}

// sendToID encodes an answer to a VM that may be unknown.
func (f *Fleet) sendToID(out *[]Out, to baobabstep.VMID, m message) {
	o := Out{To: to}
	if r := f.known[to]; r != nil {
		o.Address = r.vm.PeerAddress
	}
	f.encodeTo(out, o, m)
}

// encodeTo fills in the header of a message and appends the encoded message to out.
func (f *Fleet) encodeTo(out *[]Out, o Out, m message) {
	m.Incarnation, m.Nonce, m.State = f.self.vm.Incarnation, f.self.nonce, f.self.vm.State
	m.Joining = f.self.vm.Joining
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
	f.advanceClock(now)
	if !f.self.vm.Joining {
		return
	}
	vm := f.self.vm
	vm.Joining = false
	vm.Incarnation++
	f.update(f.self, vm, f.self.nonce)
}

// Leave announces a planned stop. Keep calling Tick and Handle until the VM has
// handed over its flows and requests.
func (f *Fleet) Leave(now time.Time) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	vm := f.self.vm
	vm.State = baobabstep.VMLeaving
	vm.Incarnation++
	f.update(f.self, vm, f.self.nonce)
	var out []Out
	for _, r := range f.pickRandom(f.own, maxLeaveMessages, alive) {
		f.send(&out, r, message{Kind: kindGossip, News: []entry{f.self.entry()}})
	}
	for _, d := range f.sortedDataCentres {
		if d == f.own {
			continue
		}
		for _, r := range f.pickRandom(d, 1, alive) {
			f.send(&out, r, message{Kind: kindGossip, News: []entry{f.self.entry()}})
		}
	}
	return out
}

// maxLeaveMessages bounds the VMs of the own data centre that are notified of a
// planned stop directly; gossip reaches the others.
const maxLeaveMessages = 8

// Stats returns the counters.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	for _, d := range f.sortedDataCentres {
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
