package emulator

import (
	"slices"
	"time"

	"baobabstep"
)

// Duration is a time in files, as a number of milliseconds.
type Duration float64

// D returns d as a [time.Duration].
func (d Duration) D() time.Duration { return time.Duration(float64(d) * float64(time.Millisecond)) }

// Deployment is what a fleet serves, and with what.
type Deployment struct {
	Name        string       `json:"name"`
	DataCentres []DataCentre `json:"data_centres"`
	Services    []Service    `json:"services"`
	Classes     []Class      `json:"classes"`
	Links       Links        `json:"links"`
	// Hash is how the fabric hands flows to VMs: "steady" or "mod".
	Hash string `json:"hash"`
	// Seconds is the length of a day.
	Seconds float64 `json:"seconds"`
}

// DataCentre is one data centre, its VMs and its callers.
type DataCentre struct {
	Name string `json:"name"`
	VMs  int    `json:"vms"`
	// Processors say what VMs have of a core, the first ones first; the rest
	// have a whole one.
	Processors []Processors `json:"processors,omitempty"`
	// Callers are the addresses that callers have, PerSecond the requests of
	// all of them in a second.
	Callers   int     `json:"callers"`
	PerSecond float64 `json:"per_second"`
}

// Processors are some VMs with the same share of a core.
type Processors struct {
	VMs   int     `json:"vms"`
	Share float64 `json:"share"`
}

// share returns what the VM with a number, from 0 on, has of a core.
func (d *DataCentre) share(number int) float64 {
	for _, p := range d.Processors {
		if number < p.VMs {
			return p.Share
		}
		number -= p.VMs
	}
	return 1
}

// Service is the targets of one service.
type Service struct {
	Name string `json:"name"`
	// Targets is their number in each data centre, by its place in the list.
	Targets []int `json:"targets"`
	// Slots run requests; Queue more may wait.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// ColdMS is how long a target is slower by ColdFactor after its start.
	ColdMS     Duration `json:"cold_ms"`
	ColdFactor float64  `json:"cold_factor"`
	// ColdPerSecond is the number of new flows a second that a cold target bears,
	// 0 for any number.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
}

// Class is one kind of request.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Share is the weight of the class among all requests.
	Share float64 `json:"share"`
	// Idempotent requests may be tried again after any failure, others only
	// if they have not run.
	Idempotent bool `json:"idempotent"`
	// Keep tells whether callers keep flows open for many requests.
	Keep bool `json:"keep"`
	// WorkMS is the mean time in a slot; WorkSpread is the standard deviation
	// of its logarithm.
	WorkMS      Duration `json:"work_ms"`
	WorkSpread  float64  `json:"work_spread"`
	AskBytes    float64  `json:"ask_bytes"`
	AskSpread   float64  `json:"ask_spread"`
	AnswerBytes float64  `json:"answer_bytes"`
	// AnswerSpread is that of the size of answers.
	AnswerSpread float64 `json:"answer_spread"`
	// A request is worth Worth if it is answered within AimMS, LateWorth
	// within LimitMS, and nothing later.
	AimMS     Duration `json:"aim_ms"`
	LimitMS   Duration `json:"limit_ms"`
	Worth     float64  `json:"worth"`
	LateWorth float64  `json:"late_worth"`
	// Retries bounds the further tries of a caller.
	Retries int `json:"retries"`
	// Priority is how urgent it is; 0 is the most urgent.
	Priority int `json:"priority"`
}

// earns returns the worth of an answer that took a time.
func (c *Class) earns(took time.Duration) float64 {
	switch {
	case took <= c.AimMS.D():
		return c.Worth
	case took <= c.LimitMS.D():
		return c.LateWorth
	default:
		return 0
	}
}

// Links are the times of one way.
type Links struct {
	NearMS   Duration `json:"near_ms"`
	FarMS    Duration `json:"far_ms"`
	CallerMS Duration `json:"caller_ms"`
}

// Validate returns what is wrong with a deployment. Errors: CodeInvalid.
func (d *Deployment) Validate() error {
	fail := func(format string, args ...any) error {
		return baobabstep.Errorf(baobabstep.CodeInvalid, "emulator.deployment", "%s: "+format, append([]any{d.Name}, args...)...)
	}
	switch {
	case len(d.DataCentres) == 0 || len(d.Services) == 0 || len(d.Classes) == 0:
		return fail("got %d data centres, %d services, %d classes, want one of each or more", len(d.DataCentres), len(d.Services), len(d.Classes))
	case d.Seconds <= 0 || d.Seconds > maxSeconds:
		return fail("got %v seconds, want up to %d", d.Seconds, maxSeconds)
	case d.Hash != HashSteady && d.Hash != HashMod:
		return fail("got hash %q, want %q or %q", d.Hash, HashSteady, HashMod)
	}
	for _, dc := range d.DataCentres {
		if dc.Name == "" || dc.VMs < 0 || dc.VMs > maxVMs || dc.Callers < 1 || dc.PerSecond < 0 {
			return fail("data centre %q: got %d VMs, %d callers, %v requests a second", dc.Name, dc.VMs, dc.Callers, dc.PerSecond)
		}
		for _, p := range dc.Processors {
			if p.VMs < 1 || p.Share <= 0 || p.Share > 1 {
				return fail("data centre %q: got %d VMs with %v of a core, want one or more with up to 1", dc.Name, p.VMs, p.Share)
			}
		}
	}
	for _, s := range d.Services {
		if s.ColdPerSecond < 0 || s.ColdMS < 0 {
			return fail("service %q: got %v flows a second for %v ms while cold, want no negative number", s.Name, s.ColdPerSecond, s.ColdMS)
		}
		if s.Name == "" || s.Slots < 1 || s.Queue < 0 || len(s.Targets) != len(d.DataCentres) || slices.Min(s.Targets) < 0 {
			return fail("service %q: got %d slots and a queue of %d, targets in %d of %d data centres", s.Name, s.Slots, s.Queue, len(s.Targets), len(d.DataCentres))
		}
	}
	for i := range d.Classes {
		if err := d.Classes[i].validate(d); err != nil {
			return fail("%w", err)
		}
	}
	return nil
}

func (c *Class) validate(d *Deployment) error {
	known := slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == c.Service })
	switch {
	case !known:
		return baobabstep.Errorf(baobabstep.CodeInvalid, "emulator.class", "class %q: got service %q, want one of the deployment", c.Name, c.Service)
	case c.Share <= 0 || c.WorkMS <= 0 || c.AimMS <= 0 || c.LimitMS < c.AimMS:
		return baobabstep.Errorf(baobabstep.CodeInvalid, "emulator.class", "class %q: got share %v, work %v ms, aim %v ms, limit %v ms", c.Name, c.Share, c.WorkMS, c.AimMS, c.LimitMS)
	}
	return nil
}

// Hashes of the fabric.
const (
	// HashSteady moves only the flows of a VM that joins or leaves.
	HashSteady = "steady"
	// HashMod moves nearly all flows whenever one does.
	HashMod = "mod"
)

// Bounds of what is played on one machine.
const (
	maxSeconds = 3600
	maxVMs     = 1000
)
