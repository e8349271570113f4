package report

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/io/logs"
)

// flowLine returns a line of a VM about a flow of a caller.
func flowLine(at time.Duration, vm, message, rule string, caller, port int) logs.Line {
	return line(at, message, map[string]any{
		"vm": vm, "data_centre": "dc of " + vm, "rule": rule, "flow": fmt.Sprintf("10.0.0.%d:%d/2.2.2.2:80", caller, port),
	})
}

func refusals(t *testing.T, lines ...logs.Line) *Refusals {
	t.Helper()
	r, err := Make(lines)
	qt.Assert(t, err, qt.IsNil)
	return r.Refusals
}

// Each refused or reset flow counts for its cause, rule, data centre and caller; lines that are
// not about flows count for none.
func TestRefusalsByCauseRuleAndDataCentre(t *testing.T) {
	r := refusals(t,
		flowLine(0, "vm-1", "flow_placed", "urgent", 1, 1),
		flowLine(0, "vm-1", "flow_placed", "ordinary", 1, 2),
		flowLine(0, "vm-1", "flow_no_room", "ordinary", 2, 1),
		flowLine(0, "vm-2", "flow_refused", "ordinary", 2, 2),
		flowLine(0, "vm-2", "flow_placed", "ordinary", 2, 3),
		flowLine(time.Second, "vm-2", "flow_ended", "urgent", 1, 1),
		line(time.Second, "flow_unrouted", map[string]any{"vm": "vm-2", "data_centre": "dc of vm-2", "flow": "10.0.0.3:9/3.3.3.3:80"}),
		line(time.Second, "target_silent", map[string]any{"vm": "vm-2", "target": "0a"}),
	)
	qt.Check(t, r.Causes, qt.DeepEquals, []Cause{{"flow_ended", 1, 0}, {"flow_no_room", 1, 0}, {"flow_refused", 1, 0}, {"flow_unrouted", 1, 0}})
	qt.Check(t, r.Rules, qt.DeepEquals, []FlowCounts{{"-", 0, 1, 0}, {"ordinary", 2, 2, 0}, {"urgent", 1, 0, 1}})
	qt.Check(t, r.DataCentres, qt.DeepEquals, []FlowCounts{{"dc of vm-1", 2, 1, 0}, {"dc of vm-2", 1, 2, 1}})
	qt.Check(t, r.Callers, qt.DeepEquals, []FlowCounts{{"10.0.0.1", 2, 0, 1}, {"10.0.0.2", 1, 2, 0}, {"10.0.0.3", 0, 1, 0}})
	qt.Check(t, r.Rules[1].Share(), qt.Equals, 0.5)
}

// Repeated resets and a second placement of a moved flow must not count as further flows. A
// later flow on a reused port does.
func TestRefusalsCountEachFlowOnce(t *testing.T) {
	r := refusals(t,
		flowLine(0, "vm-1", "flow_placed", "r", 1, 1),
		flowLine(200*time.Millisecond, "vm-1", "flow_placed", "r", 1, 1),
		flowLine(time.Second, "vm-1", "flow_ended", "r", 1, 1),
		flowLine(1100*time.Millisecond, "vm-2", "flow_ended", "r", 1, 1),
		flowLine(2*time.Hour, "vm-1", "flow_placed", "r", 1, 1),
	)
	qt.Check(t, r.Rules, qt.DeepEquals, []FlowCounts{{"r", 2, 0, 1}})
}

// Under load a VM drops most lines about placed flows and none about refused ones. If dropped
// lines were ignored, the share of refused flows would be far too high.
func TestRefusalsDistributeDroppedLines(t *testing.T) {
	r := refusals(t,
		flowLine(0, "vm-1", "flow_placed", "calm", 1, 1),
		flowLine(10*time.Second, "vm-1", "flow_placed", "a", 1, 2),
		flowLine(10*time.Second, "vm-1", "flow_placed", "b", 1, 3),
		flowLine(10*time.Second, "vm-1", "flow_no_room", "b", 1, 4),
		flowLine(10*time.Second, "vm-2", "flow_placed", "b", 1, 5),
		line(10500*time.Millisecond, "log lines dropped", map[string]any{"vm": "vm-1", "flow_placed": 18.0, "target_silent": 5.0}),
		line(10500*time.Millisecond, "log lines dropped", map[string]any{"vm": "vm-3", "flow_refused": 4.0}),
	)
	qt.Check(t, r.Rules, qt.DeepEquals, []FlowCounts{{"a", 10, 0, 0}, {"b", 11, 1, 0}, {"calm", 1, 0, 0}})
	qt.Check(t, r.Dropped, qt.Equals, 22)
	qt.Check(t, r.Undistributed, qt.Equals, 4)
	qt.Check(t, r.Causes, qt.DeepEquals, []Cause{{"flow_no_room", 1, 0}, {"flow_refused", 0, 4}})
}

// A caller with more refusals than the other 19 is listed first. A caller with a single,
// refused flow is not compared.
func TestWorstCallers(t *testing.T) {
	var lines []logs.Line
	for caller := 1; caller <= 20; caller++ {
		refused := 1
		if caller == 7 {
			refused = 6
		}
		for port := range 10 {
			message := "flow_placed"
			if port < refused {
				message = "flow_no_room"
			}
			lines = append(lines, flowLine(0, "vm-1", message, "r", caller, port))
		}
	}
	lines = append(lines, flowLine(0, "vm-1", "flow_no_room", "r", 99, 1))
	r := refusals(t, lines...)
	compared, worst := r.WorstCallers()
	qt.Check(t, compared, qt.HasLen, 20)
	qt.Check(t, worst, qt.HasLen, 2)
	qt.Check(t, worst[0], qt.Equals, FlowCounts{"10.0.0.7", 4, 6, 0})
	var out strings.Builder
	qt.Assert(t, r.Print(&out), qt.IsNil)
	qt.Check(t, out.String(), qt.Contains, "callers: 21, of which 20 with 10 flows or more: share 0.125, of the worst tenth 0.350\n")
	qt.Check(t, out.String(), qt.Contains, "10.0.0.7                              4          6          0      0.600\n")
}

func TestPrintWithoutRefusals(t *testing.T) {
	var out strings.Builder
	qt.Assert(t, refusals(t, flowLine(0, "vm-1", "flow_placed", "r", 1, 1)).Print(&out), qt.IsNil)
	qt.Check(t, out.String(), qt.Equals, "")
}
