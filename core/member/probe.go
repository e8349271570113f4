package member

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

const (
	// maxSuspectProbers is the number of VMs that continue to probe a suspect,
	// besides the one that suspected it first. With several of them, a live
	// suspect learns of the suspicion even if most messages are lost.
	maxSuspectProbers = 4
	// nonProberFactor extends the suspicion timeout for VMs that do not probe
	// the suspect. Its refutation reaches them later than the probers, so they
	// only declare it dead if the probers are gone.
	nonProberFactor = 3
	// massSuspicionFactor extends the suspicion timeout when more than half of
	// the data centre is suspect: this VM is then more likely cut off than all
	// others dead.
	massSuspicionFactor = 10
	// maxForwardedProbes bounds the pending indirect probes for other VMs.
	maxForwardedProbes = 256
	// contactInterval is the time between two attempts to reach a VM that only
	// the list names, or a dead VM, in case a partition has healed.
	contactInterval = 2 * time.Second
	// maxJoinContacts is the number of VMs contacted at a time by a VM that is
	// starting or paused.
	maxJoinContacts = 3
)

// probe is the pending probe.
type probe struct {
	target   *record // nil if none
	seq      uint64
	sentAt   time.Time
	indirect bool
}

// forwardedProbe is a pending indirect probe for another VM.
type forwardedProbe struct {
	origin  baobabstep.VMID
	seq     uint64 // of the origin
	expires time.Time
}

// probeNext handles the timeouts of the pending probe and starts the next one.
func (f *Fleet) probeNext(out *[]Out) {
	p := &f.probe
	if p.target != nil && !p.indirect && f.now.Sub(p.sentAt) >= f.options.ProbeTimeout {
		p.indirect = true
		f.probeIndirectly(out)
	}
	if f.now.Before(f.nextProbe) {
		return
	}
	f.nextProbe = f.now.Add(f.options.ProbeInterval)
	if p.target != nil {
		f.probeFailed(p.target)
	}
	*p = probe{}
	f.dropExpiredForwards()
	target := f.nextTarget()
	if target == nil {
		return
	}
	*p = probe{target: target, seq: f.nextSeq(), sentAt: f.now}
	f.ping(out, target, p.seq)
}

// nextTarget visits the VMs of the data centre in random order, one round after the
// other, which bounds the time until a dead VM is probed.
func (f *Fleet) nextTarget() *record {
	for range 2 {
		for len(f.probeQueue) > 0 {
			last := len(f.probeQueue) - 1
			r := f.probeQueue[last]
			f.probeQueue = f.probeQueue[:last]
			if r.dataCentre == f.own && notDead(r) {
				return r
			}
		}
		for _, r := range f.own.records {
			if r != f.self && notDead(r) {
				f.probeQueue = append(f.probeQueue, r)
			}
		}
		f.rand.Shuffle(len(f.probeQueue), func(i, j int) {
			f.probeQueue[i], f.probeQueue[j] = f.probeQueue[j], f.probeQueue[i]
		})
	}
	return nil
}

// ping sends a ping, with the receiver's entry if that is not alive, so that it can
// refute.
func (f *Fleet) ping(out *[]Out, to *record, seq uint64) {
	m := message{Kind: kindPing, Seq: seq, Beats: f.beats()}
	if to.vm.State != baobabstep.VMAlive {
		m.News = append(m.News, to.entry())
	}
	m.News = append(m.News, f.takeNews(maxPiggyback)...)
	f.send(out, to, m)
}

func (f *Fleet) probeIndirectly(out *[]Out) {
	p := &f.probe
	f.ping(out, p.target, p.seq)
	match := func(r *record) bool { return alive(r) && r != p.target }
	for _, r := range f.pickRandom(f.own, f.options.Relays, match) {
		f.send(out, r, message{Kind: kindPingRequest, Seq: p.seq, Subject: p.target.vm.ID})
	}
}

// probeFailed handles a probe without an answer, direct or indirect.
func (f *Fleet) probeFailed(r *record) {
	switch r.vm.State {
	case baobabstep.VMAlive:
		f.stats.Suspicions++
		f.setState(r, baobabstep.VMSuspect)
		r.suspectedHere = true
	case baobabstep.VMLeaving:
		if r.stateSince.IsZero() {
			r.stateSince = f.now
		}
	}
}

// ConnectionLost reports that a connection to a VM ended unexpectedly. The
// connections of a process that dies end at once, long before probes fail, but a
// brief network fault can end them too. So the VM is pinged, and only this VM treats
// it as suspect if it does not answer within ProbeTimeout. It is never declared dead
// sooner than ProbeInterval and SuspicionTimeout after its last message, since a VM
// that was paused for less than that would not have noticed.
func (f *Fleet) ConnectionLost(now time.Time, id baobabstep.VMID) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	r := f.known[id]
	if r == nil || r.dataCentre != f.own || r.vm.State != baobabstep.VMAlive || !r.connectionLostAt.IsZero() {
		return nil
	}
	r.connectionLostAt = f.now
	f.stats.Lost++
	var out []Out
	f.ping(&out, r, f.nextSeq())
	return out
}

// checkLocalVMs declares dead the VMs of the own data centre that did not refute in
// time, and pings the remaining suspects again.
func (f *Fleet) checkLocalVMs(out *[]Out) {
	timeout := f.options.SuspicionTimeout
	if f.massSuspicion() {
		timeout *= massSuspicionFactor
	}
	for _, r := range f.own.records {
		if r == f.self {
			continue
		}
		switch r.vm.State {
		case baobabstep.VMAlive:
			f.checkConnectionLoss(r)
		case baobabstep.VMSuspect:
			f.checkSuspect(out, r, timeout)
		case baobabstep.VMLeaving:
			if !r.stateSince.IsZero() && f.now.Sub(r.stateSince) >= f.options.SuspicionTimeout {
				f.declareDead(r)
			}
		}
	}
}

// checkConnectionLoss handles a VM that does not answer after its connection was lost.
func (f *Fleet) checkConnectionLoss(r *record) {
	if r.connectionLostAt.IsZero() {
		return
	}
	silence := f.now.Sub(r.connectionLostAt)
	if silence >= f.options.ProbeTimeout && !r.unresponsive {
		r.unresponsive = true
		f.viewStale.Store(true)
	}
	if silence >= f.options.ProbeInterval {
		f.clearConnectionLoss(r)
		f.probeFailed(r)
	}
}

// clearConnectionLoss resets what a lost connection set.
func (f *Fleet) clearConnectionLoss(r *record) {
	r.connectionLostAt = time.Time{}
	if r.unresponsive {
		r.unresponsive = false
		f.viewStale.Store(true)
	}
}

func (f *Fleet) checkSuspect(out *[]Out, r *record, timeout time.Duration) {
	probes := r.suspectedHere || f.probesSuspect(r)
	if !probes {
		timeout *= nonProberFactor
	}
	switch {
	case f.now.Sub(r.stateSince) >= timeout:
		f.declareDead(r)
	case probes && !f.now.Before(r.nextPing):
		r.nextPing = f.now.Add(f.options.ProbeTimeout / 2)
		f.ping(out, r, f.nextSeq())
	}
}

func (f *Fleet) massSuspicion() bool {
	suspects, members := 0, 0
	for _, r := range f.own.records {
		switch r.vm.State {
		case baobabstep.VMSuspect:
			suspects++
			members++
		case baobabstep.VMAlive:
			members++
		}
	}
	return 2*suspects > members
}

// probesSuspect reports whether rendezvous hashing selects this VM as a prober of a
// suspect.
func (f *Fleet) probesSuspect(suspect *record) bool {
	higher := 0
	score := mixHash(uint64(f.self.vm.ID), uint64(suspect.vm.ID), 2)
	for _, r := range f.own.records {
		if r != f.self && alive(r) && mixHash(uint64(r.vm.ID), uint64(suspect.vm.ID), 2) > score {
			higher++
		}
	}
	return higher < maxSuspectProbers
}

// acknowledge handles the answer to a ping, or to an indirect probe.
func (f *Fleet) acknowledge(out *[]Out, from baobabstep.VMID, m *message) {
	p := &f.probe
	if p.target != nil && m.Seq == p.seq && (from == p.target.vm.ID || m.Subject == p.target.vm.ID) {
		p.target = nil
	}
	if m.Subject != 0 {
		return
	}
	f.endPauseIfAnswered(m.Seq)
	if fw, ok := f.forwardedProbes[m.Seq]; ok {
		delete(f.forwardedProbes, m.Seq)
		reply := message{Kind: kindAck, Seq: fw.seq, Subject: from}
		if r := f.known[from]; r != nil {
			reply.News = append(reply.News, r.entry())
		}
		f.sendToID(out, fw.origin, reply)
	}
}

// forwardProbe pings a VM on behalf of another.
func (f *Fleet) forwardProbe(out *[]Out, from baobabstep.VMID, m *message) {
	r := f.known[m.Subject]
	if r == nil || r == f.self || len(f.forwardedProbes) >= maxForwardedProbes {
		return
	}
	seq := f.nextSeq()
	f.forwardedProbes[seq] = forwardedProbe{origin: from, seq: m.Seq, expires: f.now.Add(f.options.ProbeInterval)}
	f.ping(out, r, seq)
}

func (f *Fleet) dropExpiredForwards() {
	for seq, fw := range f.forwardedProbes {
		if f.now.After(fw.expires) {
			delete(f.forwardedProbes, seq)
		}
	}
}

// sendContactPings pings VMs that only the list names, or that are dead. This is how
// a VM joins and how separate groups find each other, also after each has declared
// the other dead. While starting or paused, it also pings alive peers.
func (f *Fleet) sendContactPings(out *[]Out) {
	if f.now.Before(f.nextContact) {
		return
	}
	if !f.pause.active && !f.pause.starting {
		f.nextContact = f.now.Add(contactInterval)
		f.pingUnconfirmed(out, 1, false)
		return
	}
	f.nextContact = f.now.Add(f.options.ProbeTimeout)
	for _, r := range f.pickAlivePeers(maxJoinContacts) {
		f.ping(out, r, f.nextSeq())
	}
	f.pingUnconfirmed(out, maxJoinContacts-1, true)
	f.pingUnconfirmed(out, 1, false)
}

// pickAlivePeers returns up to n alive VMs, of the own data centre if it has any.
func (f *Fleet) pickAlivePeers(n int) []*record {
	picked := f.pickRandom(f.own, n, alive)
	for _, d := range f.sortedDataCentres {
		if len(picked) == 0 && d != f.own {
			picked = f.pickRandom(d, n, alive)
		}
	}
	return picked
}

// pingUnconfirmed pings up to n random candidates or dead VMs. localOnly limits the
// candidates to the own data centre.
func (f *Fleet) pingUnconfirmed(out *[]Out, n int, localOnly bool) {
	var targets []*record
	for _, vm := range f.candidates {
		if !localOnly || vm.Region == f.self.vm.Region && vm.DataCentre == f.self.vm.DataCentre {
			targets = append(targets, &record{vm: vm})
		}
	}
	for _, r := range f.own.records {
		if !notDead(r) {
			targets = append(targets, r)
		}
	}
	slices.SortFunc(targets, func(a, b *record) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
	for range min(n, len(targets)) {
		i := f.rand.IntN(len(targets))
		f.ping(out, targets[i], f.nextSeq())
		targets = slices.Delete(targets, i, i+1)
	}
}
