package target

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// gossipMessage is what one VM tells others about targets.
type gossipMessage struct {
	// Epoch is the sender's incarnation; sequences are comparable within one.
	Epoch          uint64          `cbor:"epoch"`
	Updates        []targetUpdate  `cbor:"updates,omitempty"`
	LeavingUpdates []leavingUpdate `cbor:"leaves,omitempty"`
	// Query requests an answer with all leaving updates; Answer marks one.
	Query  bool `cbor:"ask,omitempty"`
	Answer bool `cbor:"answer,omitempty"`
}

// targetUpdate is the sender's own state of one target.
type targetUpdate struct {
	_        struct{} `cbor:",toarray"`
	Target   baobabstep.TargetID
	Sequence uint64
	Flows    uint32
	// Probed says that the sender is a prober whose last probes were answered,
	// and that Connections comes from such an answer.
	Probed      bool
	Down        bool
	Connections uint32
}

// leavingUpdate is one source's update. Unlike a targetUpdate it is passed on
// by its receivers.
type leavingUpdate struct {
	_       struct{} `cbor:",toarray"`
	Target  baobabstep.TargetID
	Source  Source
	Version uint64
	Leaving bool
}

// Upper bounds of encoded sizes in bytes.
const (
	gossipHeaderBytes  = 32
	targetUpdateBytes  = 40
	leavingUpdateBytes = 24
	maxGossipBytes     = 64 << 10
)

// peerState is the last update of another VM about a target.
type peerState struct {
	vm       baobabstep.VMID
	sequence uint64
	flows    int
	// up and down are results of the VM's probes, if it is a prober.
	up, down bool
}

// sentState is what was last sent about a target.
type sentState struct {
	flows    int
	up, down bool
	changed  bool
}

// gossipState is the state of outgoing gossip.
type gossipState struct {
	epoch    uint64
	sequence uint64
	// rotation holds the targets still to be sent in this round, changed or
	// not, since messages may be lost.
	rotation []*entry
}

// markChanged notes that the target's state may differ from what was sent.
// needsSending then decides whether to send it before its turn in the rotation.
func (e *entry) markChanged() { e.sent.changed = true }

// probedUp reports whether this VM is a prober and had a good answer.
func (e *entry) probedUp() bool {
	return e.health.prober && e.lastReport.known && e.health.goodProbes > 0
}

// needsSending reports whether the state differs enough from what was sent.
// Small changes wait for the rotation: a step of 1/32 of the count is below the
// spread that the choice between two random targets leaves anyway.
func (e *entry) needsSending() bool {
	if !e.sent.changed {
		return false
	}
	if e.sent.down != e.health.down || e.sent.up != e.probedUp() {
		return true
	}
	change := e.flows - e.sent.flows
	return max(change, -change) >= max(1, e.sent.flows/32)
}

// setEpoch reads this VM's incarnation from the view.
func (r *Registry) setEpoch(v *baobabstep.View) {
	for i := range v.Members {
		if vm := &v.Members[i]; vm.ID == r.opts.Self {
			r.gossip.epoch = max(r.gossip.epoch, vm.Incarnation)
		}
	}
}

// EncodeGossip returns the gossip for the other VMs of the region, at most
// maxBytes, or nil if there is none. Leaving updates go first, then changed
// counts, then a few targets by rotation.
func (r *Registry) EncodeGossip(_ time.Time, maxBytes int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &r.gossip
	if len(n.rotation) == 0 {
		n.refillRotation(r.index.Load())
	}
	body := gossipMessage{Epoch: n.epoch}
	left := maxBytes - gossipHeaderBytes
	left = r.addChanges(&body, left)
	r.addRotation(&body, left)
	if len(body.Updates) == 0 && len(body.LeavingUpdates) == 0 {
		return nil
	}
	return r.encode(&body)
}

func (n *gossipState) refillRotation(x *index) {
	n.rotation = append(n.rotation, x.list...)
}

func (r *Registry) addChanges(body *gossipMessage, left int) int {
	for _, e := range r.index.Load().list {
		if left < targetUpdateBytes+leavingUpdateBytes {
			return left
		}
		e.pool.mu.Lock()
		left = e.addPendingLeaving(body, left)
		if e.needsSending() {
			left -= r.addTargetUpdate(body, e)
		}
		e.pool.mu.Unlock()
	}
	return left
}

// rotationStep is how many unchanged targets each message repeats.
const rotationStep = 2

func (r *Registry) addRotation(body *gossipMessage, left int) {
	n := &r.gossip
	for i := 0; i < rotationStep && left >= targetUpdateBytes && len(n.rotation) > 0; i++ {
		last := len(n.rotation) - 1
		e := n.rotation[last]
		n.rotation = n.rotation[:last]
		e.pool.mu.Lock()
		if e.flows > 0 || e.probedUp() || e.health.down || e.sent.flows > 0 {
			left -= r.addTargetUpdate(body, e)
		}
		for s := range e.leaving {
			if e.leaving[s].version > 0 && e.leaving[s].sendsLeft == 0 {
				e.leaving[s].sendsLeft = 1
			}
		}
		e.pool.mu.Unlock()
	}
}

func (e *entry) addPendingLeaving(body *gossipMessage, left int) int {
	for s := range e.leaving {
		state := &e.leaving[s]
		if state.sendsLeft == 0 {
			continue
		}
		if after := e.addLeavingUpdate(body, Source(s), left); after < left {
			state.sendsLeft--
			left = after
		}
	}
	return left
}

// addLeavingUpdate adds one source's update if it fits into left bytes, and
// returns the bytes left. Operators' updates reach all VMs with the
// configuration.
func (e *entry) addLeavingUpdate(body *gossipMessage, s Source, left int) int {
	if s == SourceOperator || left < leavingUpdateBytes {
		return left
	}
	state := &e.leaving[s]
	body.LeavingUpdates = append(body.LeavingUpdates, leavingUpdate{Target: e.target.ID, Source: s, Version: state.version, Leaving: state.leaving})
	return left - leavingUpdateBytes
}

func (r *Registry) addTargetUpdate(body *gossipMessage, e *entry) int {
	r.gossip.sequence++
	e.sent = sentState{flows: e.flows, up: e.probedUp(), down: e.health.down}
	body.Updates = append(body.Updates, targetUpdate{
		Target:      e.target.ID,
		Sequence:    r.gossip.sequence,
		Flows:       uint32(e.flows),
		Probed:      e.probedUp(),
		Down:        e.health.down,
		Connections: uint32(e.lastReport.connections),
	})
	return targetUpdateBytes
}

// encode returns nil, and reports an invariant violation, for a body that
// cannot be encoded.
func (r *Registry) encode(body *gossipMessage) []byte {
	b, err := cbor.Marshal(body)
	if err != nil {
		r.invariantBroken("news", err.Error())
		return nil
	}
	return b
}

// HandleGossip applies a gossip message of another VM, which may be late,
// duplicated or out of order. It returns the reply to a query, otherwise nil.
func (r *Registry) HandleGossip(now time.Time, from baobabstep.VMID, encoded []byte) ([]byte, error) {
	if len(encoded) > maxGossipBytes {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "target.learn", "got %d bytes, want at most %d", len(encoded), maxGossipBytes)
	}
	var body gossipMessage
	if err := cbor.Unmarshal(encoded, &body); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "target.learn", "%w", err)
	}
	if body.Query {
		return r.leavingAnswer(), nil
	}
	if !r.acceptEpoch(from, body.Epoch) {
		return nil, nil
	}
	for i := range body.Updates {
		r.applyTargetUpdate(from, &body.Updates[i])
	}
	for i := range body.LeavingUpdates {
		r.applyLeavingUpdate(&body.LeavingUpdates[i])
	}
	if body.Answer {
		r.recordAnswer(now)
	}
	return nil, nil
}

// acceptEpoch checks the sender's incarnation. A newer one drops the updates of
// the older, whose process and flows are gone.
func (r *Registry) acceptEpoch(from baobabstep.VMID, epoch uint64) bool {
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

func (r *Registry) applyTargetUpdate(from baobabstep.VMID, u *targetUpdate) {
	e := r.entryOf(u.Target)
	if e == nil || from == r.opts.Self {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	p := e.peerStateOf(from)
	if u.Sequence <= p.sequence {
		return
	}
	if p.down != u.Down || p.up != u.Probed {
		e.pool.dirty = true
	}
	e.peerFlows += int(u.Flows) - p.flows
	*p = peerState{vm: from, sequence: u.Sequence, flows: int(u.Flows), up: u.Probed, down: u.Down}
	if u.Probed && !e.health.prober {
		e.lastReport = receivedReport{known: true, connections: int(u.Connections), flowsAtReport: e.flows}
	}
	e.updateLoad()
}

// peerStateOf returns the state received from a VM, adding an empty one.
func (e *entry) peerStateOf(vm baobabstep.VMID) *peerState {
	for i := range e.peerStates {
		if e.peerStates[i].vm == vm {
			return &e.peerStates[i]
		}
	}
	e.peerStates = append(e.peerStates, peerState{vm: vm})
	return &e.peerStates[len(e.peerStates)-1]
}

func (e *entry) dropPeer(vm baobabstep.VMID) {
	for i := range e.peerStates {
		if e.peerStates[i].vm != vm {
			continue
		}
		e.peerFlows -= e.peerStates[i].flows
		e.pool.dirty = e.pool.dirty || e.peerStates[i].down
		e.peerStates = append(e.peerStates[:i], e.peerStates[i+1:]...)
		e.updateLoad()
		return
	}
}

// applyLeavingUpdate merges by version. Of two updates of one version the one
// that says leaving wins, so that VMs that disagree converge on the safe side.
func (r *Registry) applyLeavingUpdate(u *leavingUpdate) {
	e := r.entryOf(u.Target)
	if e == nil || u.Source >= numSources || u.Source == SourceOperator {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	state := &e.leaving[u.Source]
	if u.Version < state.version || (u.Version == state.version && (state.leaving || !u.Leaving)) {
		return
	}
	*state = leavingState{version: u.Version, leaving: u.Leaving, sendsLeft: leavingSends}
	e.pool.dirty = true
}
