package target

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// newsBody is what one VM tells the others of targets.
type newsBody struct {
	// Epoch is the sender's incarnation: sequences are compared within one.
	Epoch   uint64          `cbor:"epoch"`
	Updates []update        `cbor:"updates,omitempty"`
	Leaves  []leavingUpdate `cbor:"leaves,omitempty"`
	// Ask wants an answer with all that is leaving; Answer is one.
	Ask    bool `cbor:"ask,omitempty"`
	Answer bool `cbor:"answer,omitempty"`
}

// update is the sender's own state of one target.
type update struct {
	_        struct{} `cbor:",toarray"`
	Target   baobabstep.TargetID
	Sequence uint64
	Flows    uint32
	// Probed says that the sender is a prober, has an answer to its last
	// probes, and that Connections is from it.
	Probed      bool
	Down        bool
	Connections uint32
}

// leavingUpdate is one source's update. Unlike a update it is passed on.
type leavingUpdate struct {
	_       struct{} `cbor:",toarray"`
	Target  baobabstep.TargetID
	Source  Source
	Version uint64
	Leaving bool
}

// Sizes of encoded news, rounded up.
const (
	newsHeader  = 32
	updateBytes = 40
	leaveBytes  = 24
	maxNewsSize = 64 << 10
)

// peerUpdate is what another VM told of a target.
type peerUpdate struct {
	vm       baobabstep.VMID
	sequence uint64
	flows    int
	// up and down are findings of a prober.
	up, down bool
}

// sentUpdate is what was last told of a target.
type sentUpdate struct {
	flows    int
	up, down bool
	queued   bool
}

// outgoing holds the targets with something to tell.
type outgoing struct {
	epoch    uint64
	sequence uint64
	// refresh is the position of the rotation that tells each target again
	// from time to time, since messages may be lost.
	rotation []*entry
}

// changed notes that there may be something to tell. Entries are found by
// the rotation; the flag keeps small changes from being told at once.
func (e *entry) changed() { e.sent.queued = true }

// up tells whether this VM is a prober and had a good answer.
func (e *entry) up() bool {
	return e.health.prober && e.reported.known && e.health.goodProbes > 0
}

// changedEnough tells whether the state differs enough from what was told.
// Small changes wait for the rotation: a step of 1/32 of the count is below
// the spread that two random choices leave anyway.
func (e *entry) changedEnough() bool {
	if !e.sent.queued {
		return false
	}
	if e.sent.down != e.health.down || e.sent.up != e.up() {
		return true
	}
	change := e.flows - e.sent.flows
	return max(change, -change) >= max(1, e.sent.flows/32)
}

// setEpoch takes the own incarnation from the view.
func (r *Registry) setEpoch(v *baobabstep.View) {
	for i := range v.Members {
		if vm := &v.Members[i]; vm.ID == r.opts.Self {
			r.news.epoch = max(r.news.epoch, vm.Incarnation)
		}
	}
}

// News returns what to tell the other VMs of the region, at most maxBytes, or
// nil when there is nothing. Leaving updates go first, then changed counts, then
// a few targets by rotation.
func (r *Registry) News(_ time.Time, maxBytes int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &r.news
	if len(n.rotation) == 0 {
		n.fill(r.index.Load())
	}
	body := newsBody{Epoch: n.epoch}
	left := maxBytes - newsHeader
	left = r.addChanges(&body, left)
	r.addRotation(&body, left)
	if len(body.Updates) == 0 && len(body.Leaves) == 0 {
		return nil
	}
	return r.encode(&body)
}

func (n *outgoing) fill(x *index) {
	n.rotation = append(n.rotation, x.list...)
}

func (r *Registry) addChanges(body *newsBody, left int) int {
	for _, e := range r.index.Load().list {
		if left < updateBytes+leaveBytes {
			return left
		}
		e.pool.mu.Lock()
		left = e.addLeaving(body, left)
		if e.changedEnough() {
			left -= r.addUpdate(body, e)
		}
		e.pool.mu.Unlock()
	}
	return left
}

// rotationStep is how many unchanged targets are told again in each news.
const rotationStep = 2

func (r *Registry) addRotation(body *newsBody, left int) {
	n := &r.news
	for i := 0; i < rotationStep && left >= updateBytes && len(n.rotation) > 0; i++ {
		last := len(n.rotation) - 1
		e := n.rotation[last]
		n.rotation = n.rotation[:last]
		e.pool.mu.Lock()
		if e.flows > 0 || e.up() || e.health.down || e.sent.flows > 0 {
			left -= r.addUpdate(body, e)
		}
		for s := range e.leaving {
			if e.leaving[s].version > 0 && e.leaving[s].spread == 0 {
				e.leaving[s].spread = 1
			}
		}
		e.pool.mu.Unlock()
	}
}

func (e *entry) addLeaving(body *newsBody, left int) int {
	for s := range e.leaving {
		g := &e.leaving[s]
		if g.spread == 0 {
			continue
		}
		if after := e.addLeave(body, Source(s), left); after < left {
			g.spread--
			left = after
		}
	}
	return left
}

// addLeave adds one source's update, as far as left bytes allow, and returns
// what is left. What the configuration says reaches all VMs with it.
func (e *entry) addLeave(body *newsBody, s Source, left int) int {
	if s == SourceOperator || left < leaveBytes {
		return left
	}
	g := &e.leaving[s]
	body.Leaves = append(body.Leaves, leavingUpdate{Target: e.target.ID, Source: s, Version: g.version, Leaving: g.leaving})
	return left - leaveBytes
}

func (r *Registry) addUpdate(body *newsBody, e *entry) int {
	r.news.sequence++
	e.sent = sentUpdate{flows: e.flows, up: e.up(), down: e.health.down}
	body.Updates = append(body.Updates, update{
		Target:      e.target.ID,
		Sequence:    r.news.sequence,
		Flows:       uint32(e.flows),
		Probed:      e.up(),
		Down:        e.health.down,
		Connections: uint32(e.reported.connections),
	})
	return updateBytes
}

// encode returns nil, and breaks an invariant, for a body that has no encoding.
func (r *Registry) encode(body *newsBody) []byte {
	b, err := cbor.Marshal(body)
	if err != nil {
		r.breaks("news", err.Error())
		return nil
	}
	return b
}

// Learn takes the news of another VM, which may be late, doubled or out of
// order, and returns the reply to a question, or nil.
func (r *Registry) Learn(now time.Time, from baobabstep.VMID, encoded []byte) ([]byte, error) {
	if len(encoded) > maxNewsSize {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "target.learn", "got %d bytes, want at most %d", len(encoded), maxNewsSize)
	}
	var body newsBody
	if err := cbor.Unmarshal(encoded, &body); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "target.learn", "%w", err)
	}
	if body.Ask {
		return r.answer(), nil
	}
	if !r.newEnough(from, body.Epoch) {
		return nil, nil
	}
	for i := range body.Updates {
		r.learnUpdate(from, &body.Updates[i])
	}
	for i := range body.Leaves {
		r.learnLeaving(&body.Leaves[i])
	}
	if body.Answer {
		r.noteAnswer(now)
	}
	return nil, nil
}

// newEnough checks the sender's incarnation; updates of an older one are dropped
// when a newer one is heard, since its process and its flows are gone.
func (r *Registry) newEnough(from baobabstep.VMID, epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.epochs[from]
	if ok && epoch < known {
		return false
	}
	if ok && epoch > known {
		r.forgetPeer(from)
	}
	r.epochs[from] = epoch
	return true
}

func (r *Registry) learnUpdate(from baobabstep.VMID, w *update) {
	e := r.entryOf(w.Target)
	if e == nil || from == r.opts.Self {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	p := e.peer(from)
	if w.Sequence <= p.sequence {
		return
	}
	if p.down != w.Down || p.up != w.Probed {
		e.pool.dirty = true
	}
	e.othersFlows += int(w.Flows) - p.flows
	*p = peerUpdate{vm: from, sequence: w.Sequence, flows: int(w.Flows), up: w.Probed, down: w.Down}
	if w.Probed && !e.health.prober {
		e.reported = reported{known: true, connections: int(w.Connections), base: e.flows}
	}
	e.recount()
}

// peer returns the update of a VM, adding an empty one.
func (e *entry) peer(vm baobabstep.VMID) *peerUpdate {
	for i := range e.others {
		if e.others[i].vm == vm {
			return &e.others[i]
		}
	}
	e.others = append(e.others, peerUpdate{vm: vm})
	return &e.others[len(e.others)-1]
}

func (e *entry) dropPeer(vm baobabstep.VMID) {
	for i := range e.others {
		if e.others[i].vm != vm {
			continue
		}
		e.othersFlows -= e.others[i].flows
		e.pool.dirty = e.pool.dirty || e.others[i].down
		e.others = append(e.others[:i], e.others[i+1:]...)
		e.recount()
		return
	}
}

// learnLeaving merges by version; of two updates of one version the one that
// says leaving wins, so that two VMs that disagree end up on the safe side.
func (r *Registry) learnLeaving(w *leavingUpdate) {
	e := r.entryOf(w.Target)
	if e == nil || w.Source >= numSources || w.Source == SourceOperator {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	g := &e.leaving[w.Source]
	if w.Version < g.version || (w.Version == g.version && (g.leaving || !w.Leaving)) {
		return
	}
	*g = register{version: w.Version, leaving: w.Leaving, spread: updateSpread}
	e.pool.dirty = true
}
