package command_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/audit"
	"baobabstep/io/operator"
	"baobabstep/io/operator/command"
	"baobabstep/io/platform"
	standin "baobabstep/standin/platform"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// fakeNode knows one flow.
type fakeNode struct{}

func (fakeNode) Status(time.Time) operator.NodeStatus {
	return operator.NodeStatus{VM: "vm-1", DataCentre: "hobart-a", DataCentres: []operator.DataCentreStatus{
		{DataCentre: "hobart-a", VMs: map[string]int{"alive": 1}, Targets: map[string]int{"healthy": 5}, Flows: 12},
	}}
}

func (fakeNode) Explain(_ context.Context, q operator.ExplainQuery) (operator.Explanation, error) {
	if q.Number != 7 {
		return operator.Explanation{}, baobabstep.Errorf(baobabstep.CodeNotFound, "explain", "got flow %d, want one that is known", q.Number)
	}
	return operator.Explanation{Target: "fixtures-03", Why: []string{"least load of two"}, Version: 1}, nil
}

// testVM is a VM's interface before a stand-in platform.
type testVM struct {
	c        *qt.C
	platform *standin.Platform
	client   *platform.Client
	replica  *config.Replica
	trail    *audit.Trail
	url      string
}

var testKey = operator.Key{ID: "k1", Secret: "a secret of enough bytes"}

func newVM(c *qt.C) *testVM {
	p := standin.New(standin.Options{})
	server := httptest.NewServer(p)
	c.Cleanup(server.Close)
	v := &testVM{c: c, platform: p}
	v.client = platform.NewClient(platform.Options{URL: server.URL, MaxCalls: 1e6, Burst: 1e6})
	c.Cleanup(v.client.Close)
	v.replica = config.NewReplica(time.Now(), config.ReplicaOptions{Self: baobabstep.VM{ID: 1, Name: "vm-1", DataCentre: "hobart-a"}})
	v.trail = audit.NewTrail(v.client, 0)
	ctx, cancel := context.WithCancel(context.Background())
	reader := platform.NewReader(v.client, v.replica, nil, func([]config.Out) {})
	go reader.Run(ctx)
	c.Cleanup(func() { cancel(); <-reader.Done() })
	s, err := operator.NewServer(operator.Options{
		VM: "vm-1", Keys: []operator.Key{{ID: "k0", Secret: "an older secret, still good"}, testKey},
		Platform: v.client, Replica: v.replica, Trail: v.trail, Node: fakeNode{}, Clock: wallClock{}, FlowSecret: platform.NewFlowSecret(),
	})
	c.Assert(err, qt.IsNil)
	api := httptest.NewServer(s)
	c.Cleanup(api.Close)
	v.url = api.URL
	return v
}

// run carries out a command line and returns what it printed.
func (v *testVM) run(who, line string) (string, error) {
	var cli struct {
		command.Globals
		Template command.Template `cmd:""`
		Account  command.Account  `cmd:""`
		Status   command.Status   `cmd:""`
		Explain  command.Explain  `cmd:""`
		Audit    command.Audit    `cmd:""`
		Target   command.Target   `cmd:""`
		Config   command.Config   `cmd:""`

		DataCentre command.DataCentre `cmd:""`
	}
	var out bytes.Buffer
	parser, err := kong.New(&cli)
	v.c.Assert(err, qt.IsNil)
	args := strings.Split(line, " ")
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], "_", " ")
	}
	k, err := parser.Parse(args)
	v.c.Assert(err, qt.IsNil)
	cli.Out, cli.Err = &out, &out
	cli.VM, cli.Operator, cli.Secret = []string{v.url}, who, testKey
	err = k.Run(&cli.Globals)
	return out.String(), err
}

// must runs commands that succeed and checks what the last one printed.
func (v *testVM) must(who, want string, lines ...string) {
	v.c.Helper()
	out := ""
	for _, line := range lines {
		var err error
		out, err = v.run(who, line)
		v.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	}
	v.c.Assert(out, qt.Contains, want)
}

// refused runs a command that fails.
func (v *testVM) refused(who string, code baobabstep.Code, want, line string) {
	v.c.Helper()
	out, err := v.run(who, line)
	v.c.Assert(baobabstep.CodeOf(err), qt.Equals, code, qt.Commentf("%v", err))
	v.c.Assert(out+err.Error(), qt.Contains, want)
	v.c.Assert(command.ExitStatus(err) > 0, qt.IsTrue)
}

const (
	importLine = "config import ../../../examples/tas-south --reason=setup --wait"
)

func edit(field, value string) string {
	return "account edit tas-south --set=services.fixtures.values." + field + "=" + value
}

func TestCommands(t *testing.T) {
	c := qt.New(t)
	v := newVM(c)
	v.refused("ana", baobabstep.CodeIncomplete, "has no configuration yet", "template list")
	v.must("ana", "version 1 in force everywhere after", importLine)
	v.must("ana", "\"used_by\": 1", "template list", "template show live", "account list", "account show tas-south", "status", "template list --json")
	v.must("ana", "1 accounts", "template list")
	v.must("ana", "from 0 to 1000", "template show live")
	v.must("ana", "19", "account list")
	v.must("ana", "5 healthy", "status")
	v.must("ana", "least load of two", "explain 127.0.0.1:5 127.10.0.1:7000 7")
	v.refused("ana", baobabstep.CodeNotFound, "explain", "explain 127.0.0.1:5 127.10.0.1:7000 8")
	v.refused("ana", baobabstep.CodeNotFound, "no draft", "account diff tas-south")
	v.must("ana", "+ services.fixtures.values.slots: 3", edit("slots", "4"), edit("slots", "3"))
	v.must("ana", "only a look", "account diff tas-south")
	v.refused("ana", baobabstep.CodeUsage, "no reason", "account accept tas-south")
	v.must("ana", "in force everywhere", "account accept tas-south --reason=more_slots --wait")
	v.refused("ana", baobabstep.CodeNotFound, "no draft", "account drop-draft tas-south")
	v.must("ana", "dropped the draft of tas-south by ana", edit("slots", "5"), "account drop-draft tas-south")
	v.must("ana", "more slots", "account history tas-south")
	v.must("rui", "accepted as version 3", "target drain fixtures-03 --reason=disk_failing")
	v.must("rui", "accepted as version 4", "target undrain fixtures-03 --reason=disk_replaced")
	v.must("rui", "target undrain", "audit list")
	v.must("rui", "4 entries verified", "audit verify")
	v.refused("rui", baobabstep.CodeNotFound, "one that is configured", "target drain nobody --reason=none")
	v.refused("rui", baobabstep.CodeDangerous, "at most 34 %", "data-centre evacuate hobart-a --reason=power_work")
	v.must("rui", "accepted as version 5", "data-centre evacuate hobart-a --reason=power_work --confirm=tas-south/results")
	v.refused("rui", baobabstep.CodeNotFound, "whose mark this changes", "data-centre evacuate hobart-a --reason=again")
	v.must("rui", "accepted as version 6", "data-centre restore hobart-a --reason=done")
	v.refused("rui", baobabstep.CodeNotFound, "whose mark this changes", "data-centre evacuate nowhere --reason=none")
	v.must("rui", "data-centre restore", "audit list")
	v.refused("rui", baobabstep.CodeUsage, "want path=value", "account edit tas-south --set=nothing")
	v.refused("rui", baobabstep.CodeNotFound, "part services.none", "account edit tas-south --set=services.none.values=1")
}

// TestConcurrentOperators: Ana and Rui edit the account from the same version.
// Rui's accept names what Ana changed instead of undoing it, and goes through
// with --merge since he edited another field.
func TestConcurrentOperators(t *testing.T) {
	c := qt.New(t)
	v := newVM(c)
	v.must("ana", "in force", importLine)
	v.must("ana", "draft of tas-south by ana on version 1", edit("slots", "3"))
	v.must("rui", "draft of tas-south by rui on version 1", edit("connections", "1500"))
	v.must("rui", "drafts by ana, rui", "account show tas-south")
	v.must("ana", "accepted as version 2", "account accept tas-south --reason=more_slots --wait")
	v.refused("rui", baobabstep.CodeConflict, "changed by another operator: + services.fixtures.values.slots: 3", "account accept tas-south --reason=fewer")
	v.must("rui", "accepted as version 3", "account accept tas-south --reason=fewer --merge")
}

func TestDangerousChange(t *testing.T) {
	c := qt.New(t)
	v := newVM(c)
	v.must("ana", "in force", importLine)
	v.must("ana", "draft", edit("connections", "100"))
	v.refused("ana", baobabstep.CodeDangerous, "danger tas-south/fixtures: connections for new work go from 30000 to 1500", "account accept tas-south --reason=less")
	v.must("ana", "accepted as version 2", "account accept tas-south --reason=less --confirm=tas-south/fixtures")
}

// TestLostAnswersToCommands: the platform loses the answer of each write of an
// accept in turn. The operator still reads that the change was accepted, once.
func TestLostAnswersToCommands(t *testing.T) {
	c := qt.New(t)
	v := newVM(c)
	v.must("ana", "in force", importLine)
	for n := 1; n <= 7; n++ {
		v.must("ana", "draft", edit("slots", string(rune('2'+n))))
		v.platform.SetFaults(standin.Faults{LoseAnswers: n})
		v.must("ana", "in force everywhere", "account accept tas-south --wait --reason=try")
		v.platform.SetFaults(standin.Faults{})
		c.Assert(v.replica.Current().Version, qt.Equals, uint64(1+n))
	}
	v.must("ana", "8 entries verified", "audit verify")
}

func TestPlatformDown(t *testing.T) {
	c := qt.New(t)
	v := newVM(c)
	v.must("ana", "in force", importLine)
	v.must("ana", "draft", edit("slots", "3"))
	v.platform.SetFaults(standin.Faults{Outage: true})
	v.must("ana", "tas-south", "account list")
	v.refused("ana", baobabstep.CodePlatformUnavailable, "", "account accept tas-south --reason=try")
	c.Assert(v.replica.Current().Version, qt.Equals, uint64(1))
}

func TestExportImport(t *testing.T) {
	c := qt.New(t)
	v := newVM(c)
	v.must("ana", "in force", importLine)
	file := filepath.Join(c.TempDir(), "export.json")
	v.must("ana", "version 1 written", "config export "+file)
	v.refused("ana", baobabstep.CodeInvalid, "changes nothing", "config import --dry-run "+file)
	b, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(file, bytes.Replace(b, []byte(`"drained"`), nil, 1), 0o600), qt.IsNil)
	changed := bytes.Replace(b, []byte("Example account"), []byte("An account"), 1)
	c.Assert(os.WriteFile(file, changed, 0o600), qt.IsNil)
	v.must("ana", "~ account.tas-south.doc", "config import --dry-run "+file)
	v.must("ana", "accepted as version 2", "config import --reason=text "+file)
}

// TestAuthentication: requests without a valid key, of a key's other operator,
// from another time, altered on the way or sent twice are refused, each without
// an effect.
func TestAuthentication(t *testing.T) {
	c := qt.New(t)
	v := newVM(c)
	for _, one := range []struct {
		name  string
		key   operator.Key
		skew  time.Duration
		alter func(*http.Request)
		twice bool
		code  baobabstep.Code
	}{
		{"good", testKey, 0, nil, false, baobabstep.CodeOK},
		{"older key", operator.Key{ID: "k0", Secret: "an older secret, still good"}, 0, nil, false, baobabstep.CodeOK},
		{"unknown secret", operator.Key{ID: "k1", Secret: "another secret of that size"}, 0, nil, false, baobabstep.CodeUnauthenticated},
		{"unknown key", operator.Key{ID: "k9", Secret: testKey.Secret}, 0, nil, false, baobabstep.CodeUnauthenticated},
		{"an hour old", testKey, -time.Hour, nil, false, baobabstep.CodeUnauthenticated},
		{"other operator", testKey, 0, func(r *http.Request) { r.Header.Set("X-Baobabstep-Operator", "rui") }, false, baobabstep.CodeUnauthenticated},
		{"other call", testKey, 0, func(r *http.Request) { r.URL.Path = "/v1/export" }, false, baobabstep.CodeUnauthenticated},
		{"sent twice", testKey, 0, nil, true, baobabstep.CodeUnauthenticated},
	} {
		t.Run(one.name, func(t *testing.T) {
			client := &operator.Client{
				URLs: []string{v.url}, Operator: "ana", Key: one.key, Clock: skewed(one.skew),
				HTTP: &http.Client{Transport: altering{one.alter, one.twice}},
			}
			_, err := client.Status(t.Context())
			qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, one.code, qt.Commentf("%v", err))
		})
	}
}

type skewed time.Duration

func (s skewed) Now() time.Time { return time.Now().Add(time.Duration(s)) }

// altering changes or repeats requests on the way.
type altering struct {
	alter func(*http.Request)
	twice bool
}

func (a altering) RoundTrip(r *http.Request) (*http.Response, error) {
	if a.alter != nil {
		a.alter(r)
	}
	if a.twice {
		first := r.Clone(r.Context())
		first.Body, _ = r.GetBody()
		res, err := http.DefaultTransport.RoundTrip(first)
		if err != nil {
			return nil, err
		}
		_ = res.Body.Close()
	}
	return http.DefaultTransport.RoundTrip(r)
}
