package logs

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// text returns a log line of a VM at a second.
func text(second float64, vm, message, fields string) string {
	return fmt.Sprintf(`{"fields":{"vm":%q%s},"level":"info","timestamp":"2026-01-01T10:00:%09.6fZ","message":%q}`, vm, fields, second, message)
}

// An operator has the logs of all VMs, in any order, and a flow: they want its
// placement, what was found of its target elsewhere, and what the VM knew; not
// the thousands of other lines.
func TestTrace(t *testing.T) {
	log := strings.Join([]string{
		text(12.5, "vm-2", "flow_ended", `,"flow":"1.1.1.1:1/2.2.2.2:80","target":"0a"`),
		text(10.0, "vm-1", "flow_placed", `,"flow":"1.1.1.1:1/2.2.2.2:80","target":"0a"`),
		text(10.1, "vm-1", "flow_placed", `,"flow":"1.1.1.1:2/2.2.2.2:80","target":"0b"`),
		text(12.1, "vm-3", "target_silent", `,"target":"0a","unanswered":2`),
		text(12.1, "vm-3", "target_silent", `,"target":"0b","unanswered":2`),
		text(9.0, "vm-1", "routing table in force", `,"version":7`),
		text(2.0, "vm-1", "routing table in force", `,"version":5`),
		text(9.5, "vm-4", "store lost", ``),
		"panic: no line of a log",
	}, "\n")
	lines, foreign, err := Read(strings.NewReader(log))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, foreign, qt.Equals, 1)

	traced := Trace(lines, "1.1.1.1:1/2.2.2.2:80")
	var out strings.Builder
	qt.Assert(t, Print(&out, traced), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, `    0.000  vm-1                 routing table in force   version=7
    1.000  vm-1                 flow_placed              target=0a
    3.100  vm-3                 target_silent            target=0a unanswered=2
    3.500  vm-2                 flow_ended               target=0a
`)
	qt.Assert(t, Trace(lines, "9.9.9.9:1/2.2.2.2:80"), qt.HasLen, 0)
}
