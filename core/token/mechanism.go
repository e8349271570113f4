package token

import "baobabstep"

// Mechanism is a part of the routing decisions that can be disabled, to measure its effect
// or to operate without it.
type Mechanism uint8

// Mechanisms. The line comment of each is its name in settings and experiments.
const (
	// MechanismOtherLoads: requests of other VMs to a target count as its load.
	MechanismOtherLoads Mechanism = iota // other_loads
	// MechanismOwnLoads: a VM that sends many requests itself extrapolates the load from
	// them.
	MechanismOwnLoads // own_loads
	// MechanismTimes: a target with longer service times counts as busier.
	MechanismTimes // times
	// MechanismCold: a target that has just started counts as slower, by the factor
	// measured at cold targets of its service.
	MechanismCold // cold
	// MechanismNear: targets of the VM's own data centre are preferred.
	MechanismNear // near
	// MechanismFew: the best of a few candidates is chosen instead of the best of all.
	MechanismFew // few
	// MechanismNextTry: the next try of a caller goes to another target.
	MechanismNextTry // next_try
	// MechanismBeginLoad: a new target starts with the mean load of the others.
	MechanismBeginLoad // begin_load
	// MechanismSilence: targets that leave flows unanswered get no new flows.
	MechanismSilence // silence
	// MechanismEndFlows: the flows of unreachable targets are reset.
	MechanismEndFlows // end_flows
	// MechanismWitnesses: reports of other VMs on silent targets count as evidence.
	MechanismWitnesses // witnesses
	// MechanismAnswers: targets that fail more requests than their peers get fewer flows.
	MechanismAnswers // answers
	// MechanismSharedAnswers: answers in the loads of other VMs count.
	MechanismSharedAnswers // shared_answers
	// MechanismTrials: a target that failed passes a trial before it is trusted.
	MechanismTrials // trials
	// MechanismAdmission: ordinary flows are refused where answers come too late.
	MechanismAdmission // admission
	// MechanismAlarms: an alarm about a silent target is sent at once.
	MechanismAlarms // alarms
	// MechanismAvoidance: a target that accepts no flows is retried by one VM at a time.
	MechanismAvoidance // avoidance
	// MechanismColdLimits: the new flows of all VMs to a cold target are limited.
	MechanismColdLimits // cold_limits
	// MechanismCongestion: what VMs observe of targets while their own links are congested
	// does not count, and verdicts wait for contradictions and for slow paths.
	MechanismCongestion // congestion
	// MechanismLinkAdmission: new bulk flows wait, or are refused, where the VM's own link
	// is full of bulk flows.
	MechanismLinkAdmission // link_admission
	// MechanismRoom: ordinary flows are refused where targets have room for urgent ones
	// only.
	MechanismRoom // room
	// MechanismPacing: what a VM sends waits, small datagrams first, where its own link
	// would lose it.
	MechanismPacing // pacing
	// MechanismInquiries: a VM that gets the copy of a first segment asks the others where the
	// flow was placed.
	MechanismInquiries // inquiries
	numMechanisms
)

// Mechanisms is a set of mechanisms.
type Mechanisms uint32

// With returns the set with m added.
func (s Mechanisms) With(m Mechanism) Mechanisms { return s | 1<<m }

// Has reports whether m is in the set.
func (s Mechanisms) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// ParseMechanisms returns the set of mechanisms with the given names. An unknown name gives
// an error with CodeInvalid.
func ParseMechanisms(names []string) (set Mechanisms, err error) {
	for _, name := range names {
		m, err := parseMechanism(name)
		if err != nil {
			return 0, err
		}
		set = set.With(m)
	}
	return set, nil
}

func parseMechanism(name string) (Mechanism, error) {
	for m := range numMechanisms {
		if m.String() == name {
			return m, nil
		}
	}
	return 0, baobabstep.Errorf(baobabstep.CodeInvalid, "token.mechanism", "got %q, want a mechanism such as %v", name, MechanismTimes)
}

// enabled reports whether a mechanism is in use.
func (r *Router) enabled(m Mechanism) bool { return !r.options.Disabled.Has(m) }
