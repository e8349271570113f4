package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// design is a way to divide a limit: whether a VM may use the target now.
type design interface {
	// allows decides for VM n, whose clock shows at and whose view is given; now is
	// the true time.
	allows(now, at time.Time, n int, view *View) bool
	used(now, at time.Time, n int)
	// bytes returns what the design sends in a second, of all VMs for one target.
	bytes(vms int) float64
}

// few is what the package does.
type few struct {
	limit  Limit
	meters []Meter
	shares []Share
}

func (d *few) allows(now, _ time.Time, n int, view *View) bool {
	d.shares[n] = view.Of(designKey, d.limit)
	return d.meters[n].Allows(now, d.shares[n])
}
func (d *few) used(now, _ time.Time, n int) { d.meters[n].Use(now, d.shares[n]) }
func (d *few) bytes(int) float64            { return 0 }

// slots gives each part of a second to one VM, by the time of day.
type slots struct {
	limit Limit
	last  []int64
}

func (d *slots) slot(at time.Time) int64 {
	return at.UnixNano() / int64(float64(time.Second)/d.limit.PerSecond)
}

func (d *slots) allows(_, at time.Time, n int, view *View) bool {
	slot := d.slot(at)
	return view.Settled && d.last[n] != slot && view.rank(designKey+uint64(slot)*977) == 0
}
func (d *slots) used(_, at time.Time, n int) { d.last[n] = d.slot(at) }
func (d *slots) bytes(int) float64           { return 0 }

// reserved lets the first VM of a view hand out the uses of the next second with
// its heartbeats, in turn to all VMs that it hears.
type reserved struct {
	limit Limit
	// granted are the uses that each VM holds, and until when.
	granted []int
	until   []time.Time
	beatAt  []time.Time
	next    []int
	hears   func(from, to int) bool
}

const (
	designKey  = 42
	designBeat = 200 * time.Millisecond
	// grantBytes is what a grant adds to a heartbeat: the target and a count.
	grantBytes = 8
)

func (d *reserved) allows(now, _ time.Time, n int, view *View) bool {
	if view.Settled && view.rank(designKey) == 0 && now.Sub(d.beatAt[n]) >= designBeat {
		d.beatAt[n] = now
		for range int(d.limit.PerSecond * designBeat.Seconds()) {
			to := d.next[n] % len(d.granted)
			d.next[n]++
			if d.hears(n, to) {
				d.granted[to]++
				d.until[to] = now.Add(time.Second)
			}
		}
	}
	return d.granted[n] > 0 && now.Before(d.until[n])
}
func (d *reserved) used(_, _ time.Time, n int) { d.granted[n]-- }
func (d *reserved) bytes(vms int) float64 {
	return float64(vms) * grantBytes / designBeat.Seconds()
}

// trouble is what differs between VMs while a design is played.
type trouble struct {
	name string
	// view returns the view of a VM at a time since the beginning, and skew how far
	// its clock is off.
	view func(n, vms int, at time.Duration) *View
	skew func(n int) time.Duration
}

func wholeView(n, vms int) *View { return viewOf(n, upTo(vms)...) }

// in tells whether a time lies in the seconds of trouble.
func in(at time.Duration) bool { return at >= 5*time.Second && at < 10*time.Second }

func designTroubles() []trouble {
	onTime := func(int) time.Duration { return 0 }
	calm := func(n, vms int, _ time.Duration) *View { return wholeView(n, vms) }
	return []trouble{
		{"calm", calm, onTime},
		{"a fifth of the VMs is new and unknown to the others", func(n, vms int, at time.Duration) *View {
			if old := vms * 4 / 5; in(at) && n < old {
				return viewOf(n, upTo(old)...)
			}
			return wholeView(n, vms)
		}, onTime},
		{"halves take each other for gone", func(n, vms int, at time.Duration) *View {
			if !in(at) {
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
		{"clocks of a third are off by up to two seconds", calm, func(n int) time.Duration {
			if n%3 != 0 {
				return 0
			}
			return time.Duration(n*389%4000-2000) * time.Millisecond
		}},
	}
}

// playDesign returns the most uses in any second, and the mean of a calm second.
func playDesign(d design, tr trouble, vms int) (worst int, mean float64) {
	draw := rand.New(rand.NewPCG(1, uint64(vms)))
	// Each VM sees eight flows a second; all want the target.
	const step, length, flows = 20 * time.Millisecond, 15 * time.Second, 8.0
	var uses []time.Duration
	views := make(map[bool][]*View)
	for _, troubled := range []bool{false, true} {
		for n := range vms {
			views[troubled] = append(views[troubled], tr.view(n, vms, map[bool]time.Duration{true: 6 * time.Second}[troubled]))
		}
	}
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		for _, n := range draw.Perm(vms) {
			own := now.Add(tr.skew(n))
			if d.allows(now, own, n, views[in(at)][n]) && draw.Float64() < flows*step.Seconds() {
				d.used(now, own, n)
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

// BenchmarkDesigns plays three ways to divide a limit of six a second, of which a
// second may see 14 at most: worst/s is the most that any second saw, mean/s what
// was used, B/s what all VMs send for one target.
func BenchmarkDesigns(b *testing.B) {
	limit := allowance(6)
	for _, vms := range []int{8, 26, 65} {
		designs := map[string]func(tr trouble) design{
			"few VMs":    func(trouble) design { return &few{limit, make([]Meter, vms), make([]Share, vms)} },
			"time slots": func(trouble) design { return &slots{limit, make([]int64, vms)} },
			"reservations": func(tr trouble) design {
				d := &reserved{limit: limit, granted: make([]int, vms), until: make([]time.Time, vms), beatAt: make([]time.Time, vms), next: make([]int, vms)}
				d.hears = func(from, to int) bool { return hears(tr.view(from, vms, 6*time.Second), to) }
				return d
			},
		}
		for _, tr := range designTroubles() {
			for _, name := range []string{"few VMs", "time slots", "reservations"} {
				b.Run(name+"/"+tr.name+fmt.Sprintf("/%d", vms), func(b *testing.B) {
					for range b.N {
						d := designs[name](tr)
						worst, mean := playDesign(d, tr, vms)
						b.ReportMetric(float64(worst), "worst/s")
						b.ReportMetric(mean, "mean/s")
						b.ReportMetric(d.bytes(vms), "B/s")
					}
				})
			}
		}
	}
}

// hears tells whether a VM of a view can be heard.
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
