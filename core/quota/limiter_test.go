package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// limiter is a method to divide a limit. It decides whether a VM may use the
// target now.
type limiter interface {
	// allows decides for VM n with the given view, whose clock shows at; now is
	// the true time.
	allows(now, at time.Time, n int, view *View) bool
	record(now, at time.Time, n int)
	// bytesPerSecond returns the network traffic of all VMs together for one
	// target.
	bytesPerSecond(vms int) float64
}

// sharesLimiter is the method of this package.
type sharesLimiter struct {
	limit  Limit
	meters []Meter
	shares []Share
}

func (l *sharesLimiter) allows(now, _ time.Time, n int, view *View) bool {
	l.shares[n] = view.ShareOf(limiterKey, l.limit)
	return l.meters[n].Allows(now, l.shares[n])
}
func (l *sharesLimiter) record(now, _ time.Time, n int) { l.meters[n].Record(now, l.shares[n]) }
func (l *sharesLimiter) bytesPerSecond(int) float64     { return 0 }

// timeSlotLimiter assigns each time slot of a second to one VM, by its wall
// clock.
type timeSlotLimiter struct {
	limit Limit
	last  []int64
}

func (l *timeSlotLimiter) slot(at time.Time) int64 {
	return at.UnixNano() / int64(float64(time.Second)/l.limit.PerSecond)
}

func (l *timeSlotLimiter) allows(_, at time.Time, n int, view *View) bool {
	slot := l.slot(at)
	return view.Settled && l.last[n] != slot && view.rank(limiterKey+uint64(slot)*977) == 0
}
func (l *timeSlotLimiter) record(_, at time.Time, n int) { l.last[n] = l.slot(at) }
func (l *timeSlotLimiter) bytesPerSecond(int) float64    { return 0 }

// grantLimiter lets the first VM of a view grant the uses of the next second with
// its heartbeats, in turn to all VMs that it hears.
type grantLimiter struct {
	limit Limit
	// granted is the number of uses that each VM holds, until when they are
	// valid.
	granted []int
	until   []time.Time
	beatAt  []time.Time
	next    []int
	hears   func(from, to int) bool
}

const (
	limiterKey    = 42
	grantInterval = 200 * time.Millisecond
	// grantBytes is the size that a grant adds to a heartbeat: the target and a
	// count.
	grantBytes = 8
)

func (l *grantLimiter) allows(now, _ time.Time, n int, view *View) bool {
	if view.Settled && view.rank(limiterKey) == 0 && now.Sub(l.beatAt[n]) >= grantInterval {
		l.beatAt[n] = now
		for range int(l.limit.PerSecond * grantInterval.Seconds()) {
			to := l.next[n] % len(l.granted)
			l.next[n]++
			if l.hears(n, to) {
				l.granted[to]++
				l.until[to] = now.Add(time.Second)
			}
		}
	}
	return l.granted[n] > 0 && now.Before(l.until[n])
}
func (l *grantLimiter) record(_, _ time.Time, n int) { l.granted[n]-- }
func (l *grantLimiter) bytesPerSecond(vms int) float64 {
	return float64(vms) * grantBytes / grantInterval.Seconds()
}

// faultScenario sets the differences between VMs during a simulation.
type faultScenario struct {
	name string
	// view returns the view of a VM at a time since the start, skew the offset of
	// its clock.
	view func(n, vms int, at time.Duration) *View
	skew func(n int) time.Duration
}

func wholeView(n, vms int) *View { return viewOf(n, upTo(vms)...) }

// inFaultPeriod reports whether a time lies in the period with faults.
func inFaultPeriod(at time.Duration) bool { return at >= 5*time.Second && at < 10*time.Second }

func faultScenarios() []faultScenario {
	onTime := func(int) time.Duration { return 0 }
	sameViews := func(n, vms int, _ time.Duration) *View { return wholeView(n, vms) }
	return []faultScenario{
		{"calm", sameViews, onTime},
		{"a fifth of the VMs is new and unknown to the others", func(n, vms int, at time.Duration) *View {
			if old := vms * 4 / 5; inFaultPeriod(at) && n < old {
				return viewOf(n, upTo(old)...)
			}
			return wholeView(n, vms)
		}, onTime},
		{"each half considers the other gone", func(n, vms int, at time.Duration) *View {
			if !inFaultPeriod(at) {
				return wholeView(n, vms)
			}
			v := &View{Self: vmID(n), Settled: true}
			for other := range vms {
				if other != n && other%2 == n%2 {
					v.Others = append(v.Others, vmID(other))
				}
			}
			return v
		}, onTime},
		{"clocks of a third are off by up to two seconds", sameViews, func(n int) time.Duration {
			if n%3 != 0 {
				return 0
			}
			return time.Duration(n*389%4000-2000) * time.Millisecond
		}},
	}
}

// simulate returns the maximum number of uses in any second, and the mean per
// second.
func simulate(l limiter, scenario faultScenario, vms int) (worst int, mean float64) {
	random := rand.New(rand.NewPCG(1, uint64(vms)))
	// Each VM gets eight flows a second, all for the same target.
	const step, length, flows = 20 * time.Millisecond, 15 * time.Second, 8.0
	var uses []time.Duration
	views := make(map[bool][]*View)
	for _, faulty := range []bool{false, true} {
		for n := range vms {
			views[faulty] = append(views[faulty], scenario.view(n, vms, map[bool]time.Duration{true: 6 * time.Second}[faulty]))
		}
	}
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		for _, n := range random.Perm(vms) {
			own := now.Add(scenario.skew(n))
			if l.allows(now, own, n, views[inFaultPeriod(at)][n]) && random.Float64() < flows*step.Seconds() {
				l.record(now, own, n)
				uses = append(uses, at)
			}
		}
	}
	first := 0
	for i, at := range uses {
		for at-uses[first] >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst, float64(len(uses)) / length.Seconds()
}

// BenchmarkLimiters compares three methods to divide a limit of six a second with
// a bound of 14 in any second. worst/s is the maximum in any second, mean/s the
// mean use, B/s the traffic of all VMs for one target.
func BenchmarkLimiters(b *testing.B) {
	limit := coldTargetLimit(6)
	for _, vms := range []int{8, 26, 65} {
		limiters := map[string]func(scenario faultScenario) limiter{
			"few VMs":    func(faultScenario) limiter { return &sharesLimiter{limit, make([]Meter, vms), make([]Share, vms)} },
			"time slots": func(faultScenario) limiter { return &timeSlotLimiter{limit, make([]int64, vms)} },
			"reservations": func(scenario faultScenario) limiter {
				l := &grantLimiter{limit: limit, granted: make([]int, vms), until: make([]time.Time, vms), beatAt: make([]time.Time, vms), next: make([]int, vms)}
				l.hears = func(from, to int) bool { return hears(scenario.view(from, vms, 6*time.Second), to) }
				return l
			},
		}
		for _, scenario := range faultScenarios() {
			for _, name := range []string{"few VMs", "time slots", "reservations"} {
				b.Run(name+"/"+scenario.name+fmt.Sprintf("/%d", vms), func(b *testing.B) {
					for range b.N {
						l := limiters[name](scenario)
						worst, mean := simulate(l, scenario, vms)
						b.ReportMetric(float64(worst), "worst/s")
						b.ReportMetric(mean, "mean/s")
						b.ReportMetric(l.bytesPerSecond(vms), "B/s")
					}
				})
			}
		}
	}
}

// hears reports whether a view contains a VM.
func hears(v *View, n int) bool {
	if vmID(n) == v.Self {
		return true
	}
	for _, other := range v.Others {
		if other == vmID(n) {
			return true
		}
	}
	return false
}
