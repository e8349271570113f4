package experiment

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"

	"baobabstep"
	"baobabstep/core/token"
	"baobabstep/emulator"
)

// File is an experiment as it is written down.
type File struct {
	Name string `json:"name"`
	// Deployment is the path of a deployment, from the experiment's folder.
	Deployment string `json:"deployment"`
	// Load scales the requests of all data centres; Hash, if set, replaces
	// the deployment's.
	Load Range  `json:"load"`
	Hash string `json:"hash,omitempty"`
	// Seeds is the number of days, FirstSeed the seed of the first.
	Seeds     int    `json:"seeds"`
	FirstSeed uint64 `json:"first_seed"`
	// Troubles are what days are drawn from: all of them, or as many as Draw
	// says.
	Troubles []TroubleRange `json:"troubles"`
	Draw     *Draw          `json:"draw,omitempty"`
	Arms     []Arm          `json:"arms"`

	deployment emulator.Deployment
}

// Range is what a number is drawn from; with one end left out it is the other.
type Range [2]float64

// UnmarshalJSON implements [json.Unmarshaler]: a number, or a list of two.
func (r *Range) UnmarshalJSON(raw []byte) error {
	var one float64
	if err := json.Unmarshal(raw, &one); err == nil {
		*r = Range{one, one}
		return nil
	}
	var both []float64
	if err := json.Unmarshal(raw, &both); err != nil || len(both) != 2 || both[0] > both[1] {
		return fail("got range %s, want a number or a list of two, the smaller first", raw)
	}
	*r = Range(both)
	return nil
}

func (r Range) draw(from *rand.Rand) float64 { return r[0] + from.Float64()*(r[1]-r[0]) }

// Draw bounds the number of troubles of a day.
type Draw struct {
	Least int `json:"least"`
	Most  int `json:"most"`
}

// TroubleRange is what a trouble is drawn from.
type TroubleRange struct {
	Kind  emulator.Kind `json:"kind"`
	AtMS  Range         `json:"at_ms"`
	ForMS Range         `json:"for_ms"`
	Share Range         `json:"share"`
	X     Range         `json:"x"`
	GapMS Range         `json:"gap_ms"`
	// Service and DataCentre are places in the deployment's lists; left out,
	// one is drawn.
	Service    *int `json:"service,omitempty"`
	DataCentre *int `json:"data_centre,omitempty"`
}

// Arm is one way of deciding.
type Arm struct {
	Name string `json:"name"`
	// Without names the mechanisms that are switched off.
	Without []string `json:"without,omitempty"`

	without token.Mechanisms
}

// Bounds of an experiment.
const (
	maxSeeds = 100000
	maxArms  = 32
)

// Read reads and checks an experiment file and the deployment that it names.
// Errors: CodeInvalid.
func Read(path string) (*File, error) {
	f := &File{Load: Range{1, 1}, FirstSeed: 1}
	if err := readStrict(path, f); err != nil {
		return nil, err
	}
	if err := readStrict(filepath.Join(filepath.Dir(path), f.Deployment), &f.deployment); err != nil {
		return nil, err
	}
	if f.Hash != "" {
		f.deployment.Hash = f.Hash
	}
	return f, f.check()
}

func readStrict(path string, into any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fail("%v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fail("%s: %v", path, err)
	}
	return nil
}

func (f *File) check() error {
	if err := f.deployment.Validate(); err != nil {
		return err
	}
	switch {
	case f.Seeds < 1 || f.Seeds > maxSeeds:
		return fail("seeds: got %d, want 1 to %d", f.Seeds, maxSeeds)
	case len(f.Arms) < 1 || len(f.Arms) > maxArms:
		return fail("arms: got %d, want 1 to %d", len(f.Arms), maxArms)
	case f.Load[0] <= 0 || f.Load[1] < f.Load[0]:
		return fail("load: got %v, want two numbers above 0, the smaller first", f.Load)
	case f.Draw != nil && (f.Draw.Least < 0 || f.Draw.Most < f.Draw.Least || f.Draw.Most > len(f.Troubles)):
		return fail("draw: got %d to %d, want 0 to %d", f.Draw.Least, f.Draw.Most, len(f.Troubles))
	}
	names := make(map[string]bool)
	for i := range f.Arms {
		a := &f.Arms[i]
		if a.Name == "" || names[a.Name] {
			return fail("arms: got name %q, want one for each, all different", a.Name)
		}
		names[a.Name] = true
		var err error
		if a.without, err = token.ParseMechanisms(a.Without); err != nil {
			return fail("arm %q: %v", a.Name, err)
		}
	}
	for i := range f.Troubles {
		if err := f.Troubles[i].check(f.deployment.Seconds); err != nil {
			return fail("troubles: %d: %w", i+1, err)
		}
	}
	return nil
}

func (t *TroubleRange) check(seconds float64) error {
	switch {
	case t.Kind == emulator.KindNone:
		return fail("got no kind")
	case t.AtMS[0] < 0 || t.AtMS[1] > seconds*1000:
		return fail("%v: got at_ms %v, want times of a day of %v s", t.Kind, t.AtMS, seconds)
	case t.ForMS[0] < 0 || t.GapMS[0] < 0 || t.X[0] < 0:
		return fail("%v: got for_ms %v, gap_ms %v, x %v, want none below 0", t.Kind, t.ForMS, t.GapMS, t.X)
	case t.Share[0] < 0 || t.Share[1] > 1:
		return fail("%v: got share %v, want 0 to 1", t.Kind, t.Share)
	case t.Kind == emulator.KindTargetFlap && t.GapMS[0] <= 0:
		return fail("%v: got gap_ms %v, want it above 0", t.Kind, t.GapMS)
	}
	return nil
}

// Streams of random numbers of a day.
const (
	streamLoad = iota + 101
	streamDay
)

// day draws the day of a seed: its deployment and its troubles.
func (f *File) day(seed uint64) (emulator.Deployment, []emulator.Trouble) {
	d := f.deployment
	load := f.Load.draw(rand.New(rand.NewPCG(seed, streamLoad)))
	d.DataCentres = append([]emulator.DataCentre(nil), d.DataCentres...)
	for i := range d.DataCentres {
		d.DataCentres[i].PerSecond *= load
	}
	from := rand.New(rand.NewPCG(seed, streamDay))
	order := from.Perm(len(f.Troubles))
	count := len(order)
	if f.Draw != nil {
		count = f.Draw.Least + from.IntN(f.Draw.Most-f.Draw.Least+1)
	}
	troubles := make([]emulator.Trouble, 0, count)
	for _, i := range order[:count] {
		troubles = append(troubles, f.Troubles[i].draw(from))
	}
	return d, troubles
}

func (t *TroubleRange) draw(from *rand.Rand) emulator.Trouble {
	drawn := emulator.Trouble{
		Kind: t.Kind,
		AtMS: emulator.Duration(t.AtMS.draw(from)), ForMS: emulator.Duration(t.ForMS.draw(from)),
		Share: t.Share.draw(from), X: t.X.draw(from), GapMS: emulator.Duration(t.GapMS.draw(from)),
		Service: -1, DataCentre: -1,
	}
	if t.Service != nil {
		drawn.Service = *t.Service
	}
	if t.DataCentre != nil {
		drawn.DataCentre = *t.DataCentre
	}
	return drawn
}

func fail(format string, args ...any) error {
	return baobabstep.Errorf(baobabstep.CodeInvalid, "experiment", format, args...)
}
