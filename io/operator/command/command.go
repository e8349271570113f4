// Package command holds the operators' commands as structs for a kong command
// line. Each talks to any VM, prints a table or, with --json, one JSON value,
// and says when that VM is cut off from the platform or its peers.
//
// A program embeds the command structs and [Globals], and calls Run with
// &cli.Globals bound. The process's exit status is [ExitStatus] of the error.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"baobabstep"
	"baobabstep/io/operator"
)

// Globals are the flags that all operators' commands share.
type Globals struct {
	VM       []string      `name:"vm" help:"Operators' address of a VM, as http://127.0.0.1:7100; several are tried in order." env:"BAOBABSTEP_VM" placeholder:"URL"`
	Operator string        `help:"Who you are; recorded with each change." env:"BAOBABSTEP_OPERATOR" placeholder:"NAME"`
	Key      string        `help:"File with the operators' key: {\"id\": ..., \"secret\": ...}." env:"BAOBABSTEP_KEY" placeholder:"FILE"`
	JSON     bool          `name:"json" help:"Print JSON for programs instead of tables."`
	Timeout  time.Duration `help:"How long one call may take." default:"30s"`

	// Out and Err replace the standard streams, and Clock and HTTP the real
	// ones, in tests.
	Out   io.Writer        `kong:"-"`
	Err   io.Writer        `kong:"-"`
	Clock baobabstep.Clock `kong:"-"`
	HTTP  *http.Client     `kong:"-"`
	// Secret is used instead of the file Key, if it is set.
	Secret operator.Key `kong:"-"`
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// exitClass is the room that each class of codes has among exit statuses.
const exitClass = 20

// ExitStatus returns the exit status for an error: 0, or 20 for each hundred
// of the result code plus its last two digits, so that 301 becomes 61.
func ExitStatus(err error) int {
	code := int(baobabstep.CodeOf(err))
	return code/100*exitClass + code%100
}

// session is one run of a command.
type session struct {
	*Globals
	client *operator.Client
}

func (g *Globals) open() (*session, error) {
	if g.Out == nil {
		g.Out = os.Stdout
	}
	if g.Err == nil {
		g.Err = os.Stderr
	}
	if g.Clock == nil {
		g.Clock = wallClock{}
	}
	if g.HTTP == nil {
		g.HTTP = &http.Client{}
	}
	key := g.Secret
	if key.ID == "" {
		b, err := os.ReadFile(g.Key)
		if err != nil {
			return nil, baobabstep.Errorf(baobabstep.CodeUsage, "command.key", "%w", err)
		}
		if err := json.Unmarshal(b, &key); err != nil {
			return nil, baobabstep.Errorf(baobabstep.CodeUsage, "command.key", "got %s that is no key: %w", g.Key, err)
		}
	}
	if g.Operator == "" {
		g.Operator = key.Operator
	}
	if g.Operator == "" || len(g.VM) == 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeUsage, "command.open", "got operator %q and %d VMs, want --operator and --vm", g.Operator, len(g.VM))
	}
	return &session{g, &operator.Client{URLs: g.VM, Operator: g.Operator, Key: key, Clock: g.Clock, HTTP: g.HTTP}}, nil
}

// run opens a session and calls f within the timeout.
func (g *Globals) run(f func(ctx context.Context, s *session) error) error {
	s, err := g.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
	defer cancel()
	err = f(ctx, s)
	s.warn()
	return err
}

// warn says what the VM that answered lacks.
func (s *session) warn() {
	for _, lack := range s.client.Last.CutOff {
		_, _ = fmt.Fprintf(s.Err, "warning: VM %s lacks %s\n", s.client.Last.VM, lack)
	}
}

// print writes v as JSON, or calls table.
func (s *session) print(v any, table func(w *tabwriter.Writer)) error {
	if s.JSON {
		e := json.NewEncoder(s.Out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func row(w *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

func newID() string { return uuid.NewString() }

// Change are the flags of commands that change what is in force.
type Change struct {
	Reason   string   `help:"Why; recorded in the audit trail." placeholder:"TEXT"`
	Confirm  []string `help:"Name of a danger that is meant, as account/service." placeholder:"NAME"`
	ChangeID string   `name:"change-id" help:"Identifier of an earlier try whose answer was lost." placeholder:"ID"`
	Wait     bool     `help:"Wait until the version is in force in each data centre."`
}

func (c *Change) query() operator.ChangeQuery {
	id := c.ChangeID
	if id == "" {
		id = newID()
	}
	return operator.ChangeQuery{ID: id, Reason: c.Reason, Confirm: c.Confirm}
}

// carryOut sends the change, prints what became of it, and waits if asked.
func (s *session) carryOut(ctx context.Context, c *Change, q operator.ChangeQuery) error {
	if c.Reason == "" && !q.DryRun {
		return baobabstep.Errorf(baobabstep.CodeUsage, "command.change", "got no reason, want --reason")
	}
	start := s.Clock.Now()
	a, err := s.client.Change(ctx, q)
	if printErr := s.print(a, func(w *tabwriter.Writer) { s.changeTable(w, q, a, err) }); printErr != nil {
		return printErr
	}
	if err != nil || q.DryRun || !c.Wait {
		return err
	}
	return s.wait(ctx, a.Result.Version, start)
}

func (s *session) changeTable(w *tabwriter.Writer, q operator.ChangeQuery, a operator.ChangeAnswer, err error) {
	res := &a.Result
	for _, line := range res.Difference {
		row(w, line)
	}
	for _, d := range res.Dangers {
		row(w, fmt.Sprintf("danger %s: %s", d.Name, d.Text))
	}
	for _, t := range res.Theirs {
		row(w, "changed by another operator: "+t.String())
	}
	for _, c := range res.Collisions {
		row(w, fmt.Sprintf("both changed %s: yours %s, theirs %s", c.Path, c.Mine, c.Theirs))
	}
	code := baobabstep.CodeOf(err)
	switch {
	case err == nil && q.DryRun:
		row(w, "nothing was accepted: only a look")
	case err == nil && res.Repeated:
		row(w, fmt.Sprintf("change %s had been accepted before, as version %d", q.ID, res.Version))
	case err == nil:
		row(w, fmt.Sprintf("accepted as version %d, on version %d", res.Version, res.BaseVersion))
	case code == baobabstep.CodePlatformUnknown || code == baobabstep.CodePeerUnreachable:
		row(w, "the outcome is not known; repeat with --change-id "+q.ID)
	default:
		row(w, "nothing was accepted")
	}
	if a.AuditPending != "" {
		row(w, "the audit trail takes the entry later: "+a.AuditPending)
	}
	if a.Draft != "" {
		row(w, "the draft was accepted and not dropped: "+a.Draft)
	}
}

// pollPeriod is how often wait asks for the versions in force.
const pollPeriod = 200 * time.Millisecond

// wait prints each data centre once the version is in force on all of its VMs,
// and the time taken. It returns CodeIncomplete if the timeout comes first.
func (s *session) wait(ctx context.Context, version uint64, start time.Time) error {
	done := map[string]bool{}
	for {
		st, err := s.client.Status(ctx)
		if err != nil {
			return err
		}
		left := 0
		for _, d := range st.Replica.DataCentres {
			if d.Oldest < version || d.Heard < d.VMs {
				left++
				continue
			}
			if !done[d.DataCentre] {
				done[d.DataCentre] = true
				s.say("version %d in force in %s on %d VMs after %v", version, d.DataCentre, d.VMs, s.since(start))
			}
		}
		if left == 0 && len(done) > 0 {
			s.say("version %d in force everywhere after %v", version, s.since(start))
			return nil
		}
		select {
		case <-ctx.Done():
			return baobabstep.Errorf(baobabstep.CodeIncomplete, "command.wait", "version %d was accepted; after %v it is not known to be in force in %d data centres", version, s.since(start), left)
		case <-time.After(pollPeriod):
		}
	}
}

func (s *session) since(start time.Time) time.Duration {
	return s.Clock.Now().Sub(start).Round(time.Millisecond)
}

// say prints a line for people; with --json it goes to the error stream.
func (s *session) say(format string, args ...any) {
	to := s.Out
	if s.JSON {
		to = s.Err
	}
	_, _ = fmt.Fprintf(to, format+"\n", args...)
}

// readFile reads a file, or the standard input for "-".
func readFile(path string) ([]byte, error) {
	read := func() ([]byte, error) { return os.ReadFile(path) }
	if path == "-" {
		read = func() ([]byte, error) { return io.ReadAll(os.Stdin) }
	}
	b, err := read()
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeUsage, "command.read", "%w", err)
	}
	return b, nil
}

// fieldValues reads "path=value" pairs. A value that is no JSON is a string.
func fieldValues(pairs []string) ([]operator.FieldValue, error) {
	var out []operator.FieldValue
	for _, pair := range pairs {
		path, text, ok := strings.Cut(pair, "=")
		if !ok || path == "" {
			return nil, baobabstep.Errorf(baobabstep.CodeUsage, "command.set", "got %q, want path=value", pair)
		}
		raw := json.RawMessage(text)
		if text != "" && !json.Valid(raw) {
			quoted, err := json.Marshal(text)
			if err != nil {
				return nil, baobabstep.Errorf(baobabstep.CodeUsage, "command.set", "%w", err)
			}
			raw = quoted
		}
		out = append(out, operator.FieldValue{Path: path, Value: raw})
	}
	return out, nil
}
