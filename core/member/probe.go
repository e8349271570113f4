package member

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

const (
	// suspicionProbers is the number of VMs that go on probing a suspect,
	// besides the one that suspected it first. One that lives hears of its
	// suspicion from them even if most messages get lost.
	suspicionProbers = 4
	// hearsayFactor stretches the suspicion timeout for VMs that do not
	// probe the suspect. Its refutation reaches them later than the others,
	// so they only step in when the probers are gone.
	hearsayFactor = 3
	// massFactor stretches the suspicion timeout when more than half of the
	// data centre is suspect: then this VM is more likely cut off than
	// everybody else dead.
	massFactor = 10
	// maxForwarded bounds the indirect probes under way for others.
	maxForwarded = 256
	// contactInterval is the time between two tries to reach a VM that the
	// list names, or one that is dead, in case a partition has healed.
	contactInterval = 2 * time.Second
	// joinContacts is the number of candidates that a VM without peers
	// contacts at a time.
	joinContacts = 3
)

// probe is the probe under way.
type probe struct {
	target   *record // nil if none
	seq      uint64
	sentAt   time.Time
	indirect bool
}

// forwarded is an indirect probe under way for another VM.
type forwarded struct {
	origin  baobabstep.VMID
	seq     uint64 // of the origin
	expires time.Time
}

// probeNext judges the probe under way and starts the next one.
func (f *Fleet) probeNext(out *[]Out) {
	p := &f.probe
	if p.target != nil && !p.indirect && f.now.Sub(p.sentAt) >= f.o.ProbeTimeout {
		p.indirect = true
		f.probeIndirectly(out)
	}
	if f.now.Before(f.nextProbe) {
		return
	}
	f.nextProbe = f.now.Add(f.o.ProbeInterval)
	if p.target != nil {
		f.missed(p.target)
	}
	*p = probe{}
	f.dropForwarded()
	target := f.nextTarget()
	if target == nil {
		return
	}
	*p = probe{target: target, seq: f.nextSeq(), sentAt: f.now}
	f.ping(out, target, p.seq)
}

// nextTarget walks through the data centre in random order, so that the time
// until a dead VM is probed has a bound.
func (f *Fleet) nextTarget() *record {
	for range 2 {
		for len(f.probeQueue) > 0 {
			last := len(f.probeQueue) - 1
			r := f.probeQueue[last]
			f.probeQueue = f.probeQueue[:last]
			if r.dataCentre == f.own && living(r) {
				return r
			}
		}
		for _, r := range f.own.records {
			if r != f.me && living(r) {
				f.probeQueue = append(f.probeQueue, r)
			}
		}
		f.rand.Shuffle(len(f.probeQueue), func(i, j int) {
			f.probeQueue[i], f.probeQueue[j] = f.probeQueue[j], f.probeQueue[i]
		})
	}
	return nil
}

// ping sends a ping. A suspect is told that it is one.
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
	fits := func(r *record) bool { return alive(r) && r != p.target }
	for _, r := range f.pick(f.own, f.o.Relays, fits) {
		f.send(out, r, message{Kind: kindPingRequest, Seq: p.seq, Subject: p.target.vm.ID})
	}
}

// missed handles a probe that nobody answered.
func (f *Fleet) missed(r *record) {
	switch r.vm.State {
	case baobabstep.VMAlive:
		f.stats.Suspicions++
		f.setState(r, baobabstep.VMSuspect)
		r.accused = true
	case baobabstep.VMLeaving:
		if r.since.IsZero() {
			r.since = f.now
		}
	}
}

// Lost tells that a connection to a VM ended unexpectedly. A process that dies
// loses its connections at once, long before its silence is noticed; but so
// does one whose network had a hiccup. So the VM is pinged, and this VM alone
// takes it for suspect if it does not answer within the probe timeout. The rest
// goes its usual way: a VM is never declared dead sooner than ProbeInterval and
// SuspicionTimeout after its last sign of life, since one that was paused for
// less than that would not have noticed.
func (f *Fleet) Lost(now time.Time, id baobabstep.VMID) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	r := f.known[id]
	if r == nil || r.dataCentre != f.own || r.vm.State != baobabstep.VMAlive || !r.doubted.IsZero() {
		return nil
	}
	r.doubted = f.now
	f.stats.Lost++
	var out []Out
	f.ping(&out, r, f.nextSeq())
	return out
}

// judgeSuspects declares dead who did not refute in time, and probes the
// others again. Only VMs of the own data centre are judged.
func (f *Fleet) judgeSuspects(out *[]Out) {
	timeout := f.o.SuspicionTimeout
	if f.massSuspicion() {
		timeout *= massFactor
	}
	for _, r := range f.own.records {
		if r == f.me {
			continue
		}
		switch r.vm.State {
		case baobabstep.VMAlive:
			f.judgeDoubted(r)
		case baobabstep.VMSuspect:
			f.judgeSuspect(out, r, timeout)
		case baobabstep.VMLeaving:
			if !r.since.IsZero() && f.now.Sub(r.since) >= f.o.SuspicionTimeout {
				f.declareDead(r)
			}
		}
	}
}

func (f *Fleet) judgeDoubted(r *record) {
	if r.doubted.IsZero() {
		return
	}
	silence := f.now.Sub(r.doubted)
	if silence >= f.o.ProbeTimeout && !r.shaky {
		r.shaky = true
		f.stale.Store(true)
	}
	if silence >= f.o.ProbeInterval {
		f.trust(r)
		f.missed(r)
	}
}

// trust ends the doubt that a lost connection raised.
func (f *Fleet) trust(r *record) {
	r.doubted = time.Time{}
	if r.shaky {
		r.shaky = false
		f.stale.Store(true)
	}
}

func (f *Fleet) judgeSuspect(out *[]Out, r *record, timeout time.Duration) {
	probes := r.accused || f.probesSuspect(r)
	if !probes {
		timeout *= hearsayFactor
	}
	switch {
	case f.now.Sub(r.since) >= timeout:
		f.declareDead(r)
	case probes && !f.now.Before(r.nextPing):
		r.nextPing = f.now.Add(f.o.ProbeTimeout / 2)
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

// probesSuspect reports whether this VM is one of those that probe a suspect.
func (f *Fleet) probesSuspect(suspect *record) bool {
	better := 0
	score := mix(uint64(f.me.vm.ID), uint64(suspect.vm.ID), 2)
	for _, r := range f.own.records {
		if r != f.me && alive(r) && mix(uint64(r.vm.ID), uint64(suspect.vm.ID), 2) > score {
			better++
		}
	}
	return better < suspicionProbers
}

// acknowledge handles the answer to a ping.
func (f *Fleet) acknowledge(out *[]Out, from baobabstep.VMID, m *message) {
	p := &f.probe
	if p.target != nil && m.Seq == p.seq && (from == p.target.vm.ID || m.Subject == p.target.vm.ID) {
		p.target = nil
	}
	if m.Subject != 0 {
		return
	}
	f.reacknowledged(m.Seq)
	if fw, ok := f.forwarded[m.Seq]; ok {
		delete(f.forwarded, m.Seq)
		reply := message{Kind: kindAck, Seq: fw.seq, Subject: from}
		if r := f.known[from]; r != nil {
			reply.News = append(reply.News, r.entry())
		}
		f.sendTo(out, fw.origin, reply)
	}
}

// forwardProbe pings a VM on behalf of another.
func (f *Fleet) forwardProbe(out *[]Out, from baobabstep.VMID, m *message) {
	r := f.known[m.Subject]
	if r == nil || r == f.me || len(f.forwarded) >= maxForwarded {
		return
	}
	seq := f.nextSeq()
	f.forwarded[seq] = forwarded{origin: from, seq: m.Seq, expires: f.now.Add(f.o.ProbeInterval)}
	f.ping(out, r, seq)
}

func (f *Fleet) dropForwarded() {
	for seq, fw := range f.forwarded {
		if f.now.After(fw.expires) {
			delete(f.forwarded, seq)
		}
	}
}

// contact pings VMs that nobody has spoken of, or that are thought dead. It is
// how a VM joins, how separate groups find each other, and how they find each
// other again when each has declared the other dead.
func (f *Fleet) contact(out *[]Out) {
	if f.now.Before(f.nextContact) {
		return
	}
	if !f.pause.on && !f.pause.starting {
		f.nextContact = f.now.Add(contactInterval)
		f.contactStrangers(out, 1, false)
		return
	}
	f.nextContact = f.now.Add(f.o.ProbeTimeout)
	for _, r := range f.peersAnywhere(joinContacts) {
		f.ping(out, r, f.nextSeq())
	}
	f.contactStrangers(out, joinContacts-1, true)
	f.contactStrangers(out, 1, false)
}

// peersAnywhere returns up to n VMs thought alive, of the own data centre if
// it has any.
func (f *Fleet) peersAnywhere(n int) []*record {
	picked := f.pick(f.own, n, alive)
	for _, d := range f.sorted {
		if len(picked) == 0 && d != f.own {
			picked = f.pick(d, n, alive)
		}
	}
	return picked
}

// contactStrangers pings up to n candidates or dead VMs, only those of the
// own data centre if near is set.
func (f *Fleet) contactStrangers(out *[]Out, n int, near bool) {
	var strangers []*record
	for _, vm := range f.candidates {
		if !near || vm.Region == f.me.vm.Region && vm.DataCentre == f.me.vm.DataCentre {
			strangers = append(strangers, &record{vm: vm})
		}
	}
	for _, r := range f.own.records {
		if !living(r) {
			strangers = append(strangers, r)
		}
	}
	slices.SortFunc(strangers, func(a, b *record) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
	for range min(n, len(strangers)) {
		i := f.rand.IntN(len(strangers))
		f.ping(out, strangers[i], f.nextSeq())
		strangers = slices.Delete(strangers, i, i+1)
	}
}
