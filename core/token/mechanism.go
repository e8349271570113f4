package token

import "baobabstep"

// Mechanism is a part of the decisions that can be switched off, so that its
// worth can be measured and an operator can do without it.
type Mechanism uint8

// Mechanisms. The comment of each is its name in settings and experiments.
const (
	// MechanismOtherLoads: what other VMs send to a target counts as load.
	MechanismOtherLoads Mechanism = iota // other_loads
	// MechanismOwnLoads: a VM that sends enough takes others for VMs like itself.
	MechanismOwnLoads // own_loads
	// MechanismTimes: a target that takes longer counts as busier.
	MechanismTimes // times
	// MechanismCold: a target that has just started counts as slower, by as much as
	// such targets of its service were.
	MechanismCold // cold
	// MechanismNear: targets of the own data centre are preferred.
	MechanismNear // near
	// MechanismFew: the best of a few targets is chosen, not of all.
	MechanismFew // few
	// MechanismNextTry: a caller's next try goes to another target.
	MechanismNextTry // next_try
	// MechanismBeginLoad: a new target begins with the load of the others.
	MechanismBeginLoad // begin_load
	// MechanismSilence: targets that leave flows unanswered get no new ones.
	MechanismSilence // silence
	// MechanismEndFlows: the flows of targets that are out of reach are ended.
	MechanismEndFlows // end_flows
	// MechanismWitnesses: what other VMs say of silent targets counts.
	MechanismWitnesses // witnesses
	// MechanismAnswers: targets that fail more than their peers get fewer flows.
	MechanismAnswers // answers
	// MechanismSharedAnswers: what other VMs see of a target's answers counts.
	MechanismSharedAnswers // shared_answers
	// MechanismTrials: a target that failed is tried before it is trusted.
	MechanismTrials // trials
	// MechanismAdmission: ordinary flows are refused where answers come too late.
	MechanismAdmission // admission
	// MechanismAlarms: what a VM finds silent is told at once.
	MechanismAlarms // alarms
	// MechanismAvoidance: a target that takes no flows is tried by one VM at a time.
	MechanismAvoidance // avoidance
	// MechanismColdLimits: all VMs together send a cold target no more new flows
	// than it bears.
	MechanismColdLimits // cold_limits
	numMechanisms
)

// Mechanisms is a set of mechanisms.
type Mechanisms uint32

// With returns the set with one more.
func (s Mechanisms) With(m Mechanism) Mechanisms { return s | 1<<m }

// Has tells whether a mechanism is in the set.
func (s Mechanisms) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// ParseMechanisms returns the set of mechanisms with the given names. Errors:
// CodeInvalid.
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

// on tells whether a mechanism is in use.
func (r *Router) on(m Mechanism) bool { return !r.o.Without.Has(m) }
