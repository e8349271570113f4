package emulator

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// windowLength is that of the windows in which worth is summed up.
const windowLength = 2 * time.Second

// Result is what became of a day.
type Result struct {
	Seed    uint64         `json:"seed"`
	Classes []ClassResult  `json:"classes"`
	Windows []WindowResult `json:"windows"`
	// Worth is the part of the worth asked that was earned; WorstWindow and
	// WorstClass are the least such parts.
	Worth       float64 `json:"worth"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	// Lost is the worth that was lost, as a part of what was asked, by cause.
	Lost map[string]float64 `json:"lost"`
	// Bound is the worth that no decision could have passed.
	Bound float64 `json:"bound"`
	Tries Tries   `json:"tries"`
	// Promises counts what new flows met that they should not.
	Promises Promises `json:"promises"`
	// Unevenness is the standard deviation of the busy time of targets over
	// its mean, over the service with the most targets.
	Unevenness float64 `json:"unevenness"`
	// ControlBytes is what each VM sent to others in a second, in bytes.
	ControlBytes float64 `json:"control_bytes"`
	// Processor is the mean use of VMs, in cores.
	Processor float64 `json:"processor"`

	world        *World
	controlBytes int
	classOf      map[*Class]*ClassResult
}

// Tries counts what happened to tries, not to requests.
type Tries struct {
	Shed   int `json:"shed"`
	Errors int `json:"errors"`
	Resets int `json:"resets"`
}

// Promises counts new flows that targets took where few or none are allowed.
type Promises struct {
	// LeavingLate are those at targets that had said for longer than the bound that
	// they leave.
	LeavingLate int `json:"leaving_late"`
	// Evacuated are those at targets of evacuated data centres, EvacuatedLate those
	// after the bound, and EvacuatedMS is when the last came, after the operators
	// asked.
	Evacuated     int      `json:"evacuated"`
	EvacuatedLate int      `json:"evacuated_late"`
	EvacuatedMS   Duration `json:"evacuated_ms"`
	// Cold are those at cold targets whose service has a limit, ColdMost the most at
	// one in any second, and ColdOver those over the bound.
	Cold     int `json:"cold"`
	ColdMost int `json:"cold_most"`
	ColdOver int `json:"cold_over"`
}

// ClassResult is what became of one class of requests.
type ClassResult struct {
	Name   string  `json:"name"`
	Asked  int     `json:"asked"`
	InAim  int     `json:"in_aim"`
	Late   int     `json:"late"`
	Failed int     `json:"failed"`
	Worth  float64 `json:"worth"`
	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`

	times          *hdrhistogram.Histogram
	earned, wanted float64
}

// WindowResult is what became of the requests that began in a window.
type WindowResult struct {
	FromS float64 `json:"from_s"`
	Asked int     `json:"asked"`
	// Worth is the part earned of what was asked for.
	Worth float64 `json:"worth"`
	// Lost is the worth lost by cause, in worth.
	Lost [numCauses]float64 `json:"-"`

	earned, wanted float64
	// power is the worth lost that requests could not have earned because of
	// VMs without power.
	power float64
	// work is the time in slots asked of each service, able what its slots
	// could do, both in seconds.
	work, able map[*Service]float64
	// wants is the worth asked of each service.
	wants map[*Service]float64
}

// Times of answers are kept from 0.1 ms to 100 s.
const (
	timeUnit   = 100 * time.Microsecond
	mostUnits  = int64(100 * time.Second / timeUnit)
	timeDigits = 2
	unitsInAMS = float64(time.Millisecond / timeUnit)
)

func newResult(w *World) *Result {
	r := &Result{Seed: w.seed, world: w, Lost: make(map[string]float64), classOf: make(map[*Class]*ClassResult)}
	r.Classes = make([]ClassResult, len(w.deployment.Classes))
	for i := range w.deployment.Classes {
		c := &w.deployment.Classes[i]
		r.Classes[i] = ClassResult{Name: c.Name, times: newTimes()}
		r.classOf[c] = &r.Classes[i]
	}
	for at := time.Duration(0); at < w.length(); at += windowLength {
		r.Windows = append(r.Windows, WindowResult{
			FromS: at.Seconds(),
			work:  make(map[*Service]float64), able: make(map[*Service]float64), wants: make(map[*Service]float64),
		})
	}
	return r
}

func (r *Result) window(req *request) *WindowResult {
	return &r.Windows[min(int(req.since/windowLength), len(r.Windows)-1)]
}

// asked counts a request that begins.
func (r *Result) asked(req *request) {
	w, c := r.window(req), r.classOf[req.class]
	s := r.world.service(req.class)
	w.Asked++
	c.Asked++
	w.wanted += req.class.Worth
	c.wanted += req.class.Worth
	w.work[s] += req.work / 1000
	w.wants[s] += req.class.Worth
}

func (w *World) service(c *Class) *Service {
	i := slices.IndexFunc(w.deployment.Services, func(s Service) bool { return s.Name == c.Service })
	return &w.deployment.Services[i]
}

// served counts a request that was answered.
func (r *Result) served(req *request, took time.Duration) {
	w, c := r.window(req), r.classOf[req.class]
	_ = c.times.RecordValue(min(int64(took/timeUnit), mostUnits)) // it is in range
	earned := req.class.earns(took)
	if took > req.class.AimMS.D() {
		c.Late++
		w.Lost[req.whyLate()] += req.class.Worth - earned
		w.losePower(req, earned)
	} else {
		c.InAim++
	}
	w.earned += earned
	c.earned += earned
}

// lost counts a request that was not served.
func (r *Result) lost(req *request, why Cause) {
	w := r.window(req)
	r.classOf[req.class].Failed++
	w.Lost[why] += req.class.Worth
	w.losePower(req, 0)
}

// losePower counts what of a request's loss no decision could have saved.
func (w *WindowResult) losePower(req *request, earned float64) {
	w.power += req.class.Worth - max(earned, req.best())
}

// whyLate says why a request that was answered was late.
func (r *request) whyLate() Cause {
	switch {
	case r.metOff:
		return CauseVMOff
	case r.first != CauseNone:
		return r.first
	case r.now.slowed:
		return CauseSlow
	case r.now.waited > 0:
		return CauseWait
	default:
		return CausePath
	}
}

// finish sums up.
func (r *Result) finish() {
	earned, wanted, bound := 0.0, 0.0, 0.0
	r.WorstWindow, r.WorstClass = 1, 1
	for i := range r.Windows {
		w := &r.Windows[i]
		earned += w.earned
		wanted += w.wanted
		bound += w.unavoidable()
		w.Worth = ratio(w.earned, w.wanted)
		r.WorstWindow = min(r.WorstWindow, w.Worth)
	}
	for i := range r.Windows {
		for cause, lost := range r.Windows[i].Lost {
			if lost > 0 {
				r.Lost[Cause(cause).String()] += ratio(lost, wanted)
			}
		}
	}
	for i := range r.Classes {
		c := &r.Classes[i]
		c.Worth = ratio(c.earned, c.wanted)
		c.P50MS, c.P99MS = QuantileMS(c.times, 50), QuantileMS(c.times, 99)
		r.WorstClass = min(r.WorstClass, c.Worth)
	}
	r.Worth = ratio(earned, wanted)
	r.Bound = 1 - ratio(bound, wanted)
	r.Unevenness = r.world.unevenness()
	seconds := (r.world.length() + lead).Seconds()
	r.ControlBytes = float64(r.controlBytes) / seconds / float64(max(1, len(r.world.vms)))
	for _, v := range r.world.vms {
		r.Processor += v.processor.used.Seconds() / seconds / float64(len(r.world.vms))
	}
}

// unavoidable returns the worth lost in a window that no decision could have
// saved: of callers whose VMs were off, and of requests for which there were no
// slots, as far as that much was lost to full targets at all.
func (w *WindowResult) unavoidable() float64 {
	full := w.Lost[CauseShed] + w.Lost[CauseWait] + w.Lost[CauseRefused] + w.Lost[CauseSlow] + w.Lost[CauseSilent]
	return w.power + min(full, w.tooMuch())
}

// noteCapacity notes what the slots of each service can do in the window that
// has half passed.
func (w *World) noteCapacity() {
	window := &w.result.Windows[int(w.now/windowLength)]
	for _, t := range w.order {
		if t.up {
			window.able[t.service] += float64(t.service.Slots) / t.slow * windowLength.Seconds()
		}
	}
}

// tooMuch returns the worth asked of services beyond what their slots could do.
func (w *WindowResult) tooMuch() (worth float64) {
	for service, work := range w.work {
		if able := w.able[service]; work > able {
			worth += w.wants[service] * (1 - able/work)
		}
	}
	return worth
}

// Asked returns how many requests there were.
func (r *Result) Asked() (asked int) {
	for i := range r.Classes {
		asked += r.Classes[i].Asked
	}
	return asked
}

// Bound returns the part of the worth of a window that no decision could have
// passed.
func (w *WindowResult) Bound() float64 { return 1 - ratio(w.unavoidable(), w.wanted) }

// LostParts returns what a window lost by cause, as parts of what was asked.
func (w *WindowResult) LostParts() map[string]float64 {
	parts := make(map[string]float64)
	for cause, lost := range w.Lost {
		if lost > 0 {
			parts[Cause(cause).String()] = ratio(lost, w.wanted)
		}
	}
	return parts
}

// Times returns the times of answers of a class.
func (c *ClassResult) Times() *hdrhistogram.Histogram { return c.times }

// EmptyTimes returns a histogram that those of classes can be merged into.
func (c *ClassResult) EmptyTimes() *hdrhistogram.Histogram { return newTimes() }

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostUnits, timeDigits) }

// QuantileMS returns a quantile of such a histogram, 0 to 100, in milliseconds.
func QuantileMS(times *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(times.ValueAtQuantile(quantile)) / unitsInAMS
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// unevenness returns how unevenly the targets of the largest service were busy,
// those that were there all day.
func (w *World) unevenness() float64 {
	byService := make(map[*Service][]float64)
	for _, t := range w.order {
		if t.up && !t.draining && t.life == 1 {
			byService[t.service] = append(byService[t.service], t.ran.Seconds())
		}
	}
	var largest []float64
	for i := range w.deployment.Services {
		if list := byService[&w.deployment.Services[i]]; len(list) > len(largest) {
			largest = list
		}
	}
	mean, square := 0.0, 0.0
	for _, x := range largest {
		mean += x / float64(len(largest))
	}
	for _, x := range largest {
		square += (x - mean) * (x - mean) / float64(len(largest))
	}
	return ratio(math.Sqrt(square), mean)
}
