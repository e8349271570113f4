package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"baobabstep/standin/callers"
)

// report is what is printed. The counts come from callers and targets, but for
// invariant_failures, which the VMs assert inside themselves.
type report struct {
	FlowsOpened            int     `json:"flows_opened"`
	FlowsBroken            int     `json:"flows_broken"`
	FlowsResetExplicitly   int     `json:"flows_reset_explicitly"`
	Misrouted              int     `json:"misrouted"`
	AnswersWrong           int     `json:"answers_wrong"`
	Requests               int     `json:"requests"`
	Answered               int     `json:"answered"`
	RefusedNotRun          int     `json:"refused_not_run"`
	RefusedButRan          int     `json:"refused_but_ran"`
	OutcomeUnknown         int     `json:"outcome_unknown"`
	NonIdempotentRunTwice  int     `json:"non_idempotent_run_twice"`
	UrgentP50MS            float64 `json:"urgent_p50_ms"`
	UrgentP99MS            float64 `json:"urgent_p99_ms"`
	OrdinaryP50MS          float64 `json:"ordinary_p50_ms"`
	OrdinaryP99MS          float64 `json:"ordinary_p99_ms"`
	OrdinaryLost           int     `json:"ordinary_lost"`
	NewWorkOnLeavingTarget int     `json:"new_work_on_leaving_target"`
	// ConnectionImbalance and SlotImbalance are means over the run of largest
	// used share over mean used share, less 1, for the worst service.
	ConnectionImbalance float64 `json:"connection_imbalance"`
	SlotImbalance       float64 `json:"slot_imbalance"`
	// ControlBytesPerVMSecond counts bytes sent, each once in the fleet; ControlCPUShare
	// is a share of one core.
	ControlBytesPerVMSecond float64 `json:"control_bytes_per_vm_second"`
	ControlCPUShare         float64 `json:"control_cpu_share"`
	PlatformCallsPerSecond  float64 `json:"platform_calls_per_second"`
	// ConfigInForceSeconds is that of the slowest accepted change.
	ConfigInForceSeconds float64  `json:"config_in_force_seconds"`
	ConfigReverts        int      `json:"config_reverts"`
	InvariantFailures    int      `json:"invariant_failures"`
	Seed                 uint64   `json:"seed"`
	Policy               string   `json:"policy"`
	Faults               []string `json:"faults"`
}

// setCallers takes over what the callers saw.
func (r *report) setCallers(s *callers.Stats) {
	r.FlowsOpened = s.FlowsOpened
	r.FlowsBroken = s.FlowsBroken
	r.FlowsResetExplicitly = s.FlowsResetExplicitly
	r.Misrouted = s.Misrouted
	r.AnswersWrong = s.AnswersWrong
	r.Requests = s.Requests
	r.Answered = s.Answered
	r.RefusedNotRun = s.RefusedNotRun
	r.OutcomeUnknown = s.OutcomeUnknown
	r.OrdinaryLost = s.OrdinaryLost
	r.UrgentP50MS, r.UrgentP99MS = s.UrgentP50MS, s.UrgentP99MS
	r.OrdinaryP50MS, r.OrdinaryP99MS = s.OrdinaryP50MS, s.OrdinaryP99MS
}

// setVMs sums up the metrics of all processes of VMs.
func (r *report) setVMs(runs []*vmRun) {
	bytes, cpu, seconds := 0.0, 0.0, 0.0
	for _, run := range runs {
		bytes += run.last[metricControlBytes]
		cpu += run.last[metricControlCPU]
		seconds += run.lived.Seconds()
		r.InvariantFailures += int(run.last[metricInvariants])
	}
	if seconds > 0 {
		r.ControlBytesPerVMSecond = bytes / seconds
		r.ControlCPUShare = cpu / seconds
	}
}

// table prints the report for people, in the order and by the names of the JSON.
func (r *report) table(w io.Writer) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fields, err := orderedFields(raw)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, f := range fields {
		fmt.Fprintf(t, "%s\t%s\n", f.name, f.value)
	}
	return t.Flush()
}

type field struct{ name, value string }

// orderedFields splits one JSON object into its fields, in their order.
func orderedFields(raw []byte) ([]field, error) {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(raw, &values); err != nil {
		return nil, err
	}
	order := make([]string, 0, len(values))
	for name := range values {
		order = append(order, name)
	}
	position := func(name string) int { return bytes.Index(raw, []byte(`"`+name+`":`)) }
	slices.SortFunc(order, func(a, b string) int { return position(a) - position(b) })
	fields := make([]field, 0, len(order))
	for _, name := range order {
		fields = append(fields, field{name, string(values[name])})
	}
	return fields, nil
}
