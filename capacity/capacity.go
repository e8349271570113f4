// Package capacity answers whether a VM stays inside its control budget in a
// fleet of a given size, and what breaks first.
//
// # The model
//
// Benchmarks beside the code measure each role at several sizes. A [Question]
// names one measured quantity and what drives it; [Fit] turns the results into
// a [Slope], a straight line with its residual. [Estimate] puts the lines
// together for a [Size] into one [Row] for each role. Nothing is estimated that
// was not measured, but for the constants of the protocols (intervals, fan-outs),
// which are taken from the code and named here.
//
// The file of slopes is written by
//
//	go test -run xxx -bench . ./core/... ./io/wire | baobabstep capacity measure --out FILE
//
// and read by "baobabstep capacity table" and "baobabstep capacity plot".
package capacity

import (
	"encoding/json"
	"os"
	"runtime"

	"baobabstep"
)

// Size is the size of a fleet and of its work.
type Size struct {
	VMs         float64
	Hosts       float64
	Addresses   float64
	Flows       float64
	NewFlows    float64 // a second
	DataCentres float64
	Regions     float64
	// Changes, Deaths and Restarts are a day.
	Changes  float64
	Deaths   float64
	Restarts float64
}

// Target is the size that the project is built for.
var Target = Size{
	VMs: 2300, Hosts: 26000, Addresses: 6200, Flows: 65e6, NewFlows: 230e3,
	DataCentres: 14, Regions: 5, Changes: 11000, Deaths: 67, Restarts: 4700,
}

// Budget is what a VM may spend on control.
type Budget struct {
	CPU            float64 // share of a core
	MemoryBytes    float64
	BytesPerSecond float64
}

// Control is the budget at any size.
var Control = Budget{CPU: 0.022, MemoryBytes: 128 << 20, BytesPerSecond: 20e3}

const secondsPerDay = 86400

// Measured is the content of a file of slopes.
type Measured struct {
	// Machine is the processor, Go the version that the runs used.
	Machine string   `json:"machine"`
	Go      string   `json:"go"`
	Slopes  []*Slope `json:"slopes"`
}

// Measure fits all questions. A question without results is an error: a table
// with a hole would pass for a table without cost.
func Measure(results []Result, machine string) (*Measured, error) {
	m := &Measured{Machine: machine, Go: runtime.Version()}
	for _, q := range Questions {
		slope, err := Fit(q, results)
		if err != nil {
			return nil, err
		}
		m.Slopes = append(m.Slopes, slope)
	}
	return m, nil
}

// Slope returns the slope called name. It panics if there is none: [Measure]
// answers every question, and only questions are asked for.
func (m *Measured) Slope(name string) *Slope {
	for _, s := range m.Slopes {
		if s.Name == name {
			return s
		}
	}
	panic("capacity: no slope " + name)
}

// Read reads a file of slopes.
func Read(path string) (*Measured, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeNotFound, "capacity.read", "%w", err)
	}
	m := new(Measured)
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeInvalid, "capacity.read", "%w", err)
	}
	for _, q := range Questions {
		if !m.has(q.Name) {
			return nil, baobabstep.Errorf(baobabstep.CodeInvalid, "capacity.read", "got no slope %q", q.Name)
		}
	}
	return m, nil
}

func (m *Measured) has(name string) bool {
	for _, s := range m.Slopes {
		if s.Name == name {
			return true
		}
	}
	return false
}

// Write writes a file of slopes.
func (m *Measured) Write(path string) error {
	raw, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodeInternal, "capacity.write", "%w", err)
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return baobabstep.Errorf(baobabstep.CodeInvalid, "capacity.write", "%w", err)
	}
	return nil
}
