package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"baobabstep/core/token"
	"baobabstep/io/logs"
)

const (
	// duplicateWindow is the time within which repeated lines of the same message about a
	// flow count as one decision: a reset is repeated for each segment that arrives after it,
	// and a moved flow is placed again. It is shorter than the time until callers reuse a
	// port.
	duplicateWindow = time.Minute
	// dropInterval is the time that one line about dropped lines covers. VMs write it once a
	// second.
	dropInterval = 1100 * time.Millisecond
	// minCallerFlows is the minimum number of flows of a caller for its share to be compared
	// with others. With fewer flows, the share is mostly noise.
	minCallerFlows = 10
	// maxWorstCallers limits the number of callers listed by Print.
	maxWorstCallers = 5
	// unknownName is used for lines without a rule or data centre.
	unknownName = "-"
)

// FlowCounts counts placed, refused and reset flows. Lines that a VM dropped are distributed
// over the lines of the same message that it wrote in the same second, so the counts are
// estimates where lines were dropped.
type FlowCounts struct {
	Name string
	// Placed counts flows sent to a target, Refused those refused at their first segment, and
	// Reset those reset later.
	Placed, Refused, Reset float64
}

// Share returns the ratio of refused and reset flows to placed and refused flows, at most 1.
func (c *FlowCounts) Share() float64 {
	if c.Placed+c.Refused == 0 {
		return math.Min(1, c.Reset)
	}
	return math.Min(1, (c.Refused+c.Reset)/(c.Placed+c.Refused))
}

// Refusals counts refused and reset flows by cause, rule, data centre and caller.
type Refusals struct {
	// Causes are sorted by message.
	Causes []Cause
	// Rules, DataCentres and Callers are sorted by name. DataCentres are those of the VMs.
	Rules, DataCentres, Callers []FlowCounts
	// Dropped is the number of dropped lines about placed, refused and reset flows, and
	// Undistributed the number of those without a written line to distribute them over.
	Dropped, Undistributed int
}

// Cause has the counts of one message about refused or reset flows.
type Cause struct {
	Message string
	Flows   float64
	// Dropped is the number of dropped lines of the message.
	Dropped int
}

// outcome returns the accessor of the count that a message adds to, nil if the message is not
// about placed, refused or reset flows.
func outcome(message string) func(*FlowCounts) *float64 {
	switch message {
	case token.EventPlaced.String():
		return func(c *FlowCounts) *float64 { return &c.Placed }
	case token.EventRefused.String(), token.EventNoRoom.String(), token.EventUnrouted.String(), token.EventLinkRefused.String(), token.EventYielded.String():
		return func(c *FlowCounts) *float64 { return &c.Refused }
	case token.EventEnded.String():
		return func(c *FlowCounts) *float64 { return &c.Reset }
	}
	return nil
}

// decision is a line about a flow, weighted by the estimated number of flows it represents.
type decision struct {
	*logs.Line
	weight float64
}

// lineClass identifies lines that share a rate limit: those of one message of one VM.
type lineClass struct{ vm, message string }

// refusalCounter computes Refusals from lines in chronological order.
type refusalCounter struct {
	decisions []*decision
	// recent has the decisions of each class since its last line about dropped lines.
	recent map[lineClass][]*decision
	// seenAt is the time of the last line by message and flow.
	seenAt  map[string]time.Time
	dropped map[string]int
	result  Refusals
}

// countRefusals counts refused and reset flows. Lines may come in any order; those without a
// timestamp are skipped.
func countRefusals(lines []logs.Line) *Refusals {
	sorted := make([]*logs.Line, 0, len(lines))
	for i := range lines {
		if !lines[i].Timestamp.IsZero() {
			sorted = append(sorted, &lines[i])
		}
	}
	slices.SortStableFunc(sorted, func(a, b *logs.Line) int { return a.Timestamp.Compare(b.Timestamp) })
	c := refusalCounter{recent: make(map[lineClass][]*decision), seenAt: make(map[string]time.Time), dropped: make(map[string]int)}
	for _, l := range sorted {
		c.add(l)
	}
	return c.finish()
}

func (c *refusalCounter) add(l *logs.Line) {
	if l.Message == droppedMessage {
		for message := range l.Fields {
			if count, ok := number(l, message); ok && outcome(message) != nil {
				c.distributeDropped(l, message, count)
			}
		}
		return
	}
	if l.Field("flow") == "" || outcome(l.Message) == nil {
		return
	}
	d := &decision{Line: l, weight: 1}
	class := lineClass{l.Field("vm"), l.Message}
	c.recent[class] = append(c.recent[class], d)
	key := l.Message + l.Field("flow")
	if last, ok := c.seenAt[key]; !ok || l.Timestamp.Sub(last) > duplicateWindow {
		c.decisions = append(c.decisions, d)
	}
	c.seenAt[key] = l.Timestamp
}

// distributeDropped adds the weight of dropped lines to the lines of the same class that were
// written within dropInterval.
func (c *refusalCounter) distributeDropped(l *logs.Line, message string, count float64) {
	class := lineClass{l.Field("vm"), message}
	written := c.recent[class]
	delete(c.recent, class)
	for len(written) > 0 && l.Timestamp.Sub(written[0].Timestamp) > dropInterval {
		written = written[1:]
	}
	c.dropped[message] += int(count)
	c.result.Dropped += int(count)
	if len(written) == 0 {
		c.result.Undistributed += int(count)
	}
	for _, d := range written {
		d.weight += count / float64(len(written))
	}
}

func (c *refusalCounter) finish() *Refusals {
	causes := make(map[string]float64)
	rules, dataCentres, callers := make(countsByName), make(countsByName), make(countsByName)
	for message := range c.dropped {
		causes[message] = 0
	}
	for _, d := range c.decisions {
		causes[d.Message] += d.weight
		rules.add(d, cmp.Or(d.Field("rule"), unknownName))
		dataCentres.add(d, cmp.Or(d.Field("data_centre"), unknownName))
		callers.add(d, callerAddress(d.Field("flow")))
	}
	delete(causes, token.EventPlaced.String())
	for _, message := range slices.Sorted(maps.Keys(causes)) {
		c.result.Causes = append(c.result.Causes, Cause{Message: message, Flows: causes[message], Dropped: c.dropped[message]})
	}
	c.result.Rules, c.result.DataCentres, c.result.Callers = rules.list(), dataCentres.list(), callers.list()
	return &c.result
}

// callerAddress returns the caller's address of a flow CALLER:PORT/SERVICE:PORT.
func callerAddress(flow string) string {
	caller, _, _ := strings.Cut(flow, "/")
	if address, err := netip.ParseAddrPort(caller); err == nil {
		return address.Addr().String()
	}
	return caller
}

type countsByName map[string]*FlowCounts

func (m countsByName) add(d *decision, name string) {
	if m[name] == nil {
		m[name] = &FlowCounts{Name: name}
	}
	*outcome(d.Message)(m[name]) += d.weight
}

func (m countsByName) list() (list []FlowCounts) {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, *m[name])
	}
	return list
}

// Sum returns the sum of the counts, without a name.
func Sum(list []FlowCounts) (sum FlowCounts) {
	for i := range list {
		sum.Placed, sum.Refused, sum.Reset = sum.Placed+list[i].Placed, sum.Refused+list[i].Refused, sum.Reset+list[i].Reset
	}
	return sum
}

// WorstCallers returns the callers with at least minCallerFlows flows, and the tenth of them
// with the highest shares in descending order.
func (r *Refusals) WorstCallers() (compared, worst []FlowCounts) {
	for _, c := range r.Callers {
		if c.Placed+c.Refused >= minCallerFlows {
			compared = append(compared, c)
		}
	}
	worst = slices.SortedStableFunc(slices.Values(compared), func(a, b FlowCounts) int { return cmp.Compare(b.Share(), a.Share()) })
	return compared, worst[:(len(worst)+9)/10]
}

// Print writes the refusals as tables. It writes nothing if no flow was refused or reset.
func (r *Refusals) Print(w io.Writer) error {
	if len(r.Causes) == 0 {
		return nil
	}
	var out strings.Builder
	fmt.Fprintf(&out, "\nflows refused or reset; %d lines on flows were dropped", r.Dropped)
	if r.Dropped > 0 {
		fmt.Fprintf(&out, ", %d of them are added to the lines of the same message, VM and second, so counts are estimates", r.Dropped-r.Undistributed)
	}
	fmt.Fprintf(&out, "\n%-28s %10s %10s\n", "cause", "flows", "dropped")
	for _, c := range r.Causes {
		fmt.Fprintf(&out, "%-28s %10.0f %10d\n", c.Message, c.Flows, c.Dropped)
	}
	writeCounts(&out, "rule", r.Rules)
	writeCounts(&out, "data centre", r.DataCentres)
	r.writeCallers(&out)
	_, err := io.WriteString(w, out.String())
	return err
}

func writeCounts(out *strings.Builder, title string, list []FlowCounts) {
	fmt.Fprintf(out, "\n%-28s %10s %10s %10s %10s\n", title, "placed", "refused", "reset", "share")
	for i := range list {
		c := &list[i]
		fmt.Fprintf(out, "%-28s %10.0f %10.0f %10.0f %10.3f\n", c.Name, c.Placed, c.Refused, c.Reset, c.Share())
	}
}

func (r *Refusals) writeCallers(out *strings.Builder) {
	compared, worst := r.WorstCallers()
	if len(compared) == 0 {
		fmt.Fprintf(out, "\ncallers: %d, none with %d flows or more\n", len(r.Callers), minCallerFlows)
		return
	}
	allCounts, worstCounts := Sum(compared), Sum(worst)
	fmt.Fprintf(out, "\ncallers: %d, of which %d with %d flows or more: share %.3f, of the worst tenth %.3f\n",
		len(r.Callers), len(compared), minCallerFlows, allCounts.Share(), worstCounts.Share())
	writeCounts(out, "worst callers", worst[:min(len(worst), maxWorstCallers)])
}
