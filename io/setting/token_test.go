package setting

import (
	"reflect"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// tokenVM are the least settings of a VM with token routing.
const tokenVM = `{"name":"vm-1","region":"r","data_centre":"a",` +
	`"data_address":"127.0.0.1:7000","peer_address":"127.0.0.1:7001","metrics_address":"127.0.0.1:7002",` +
	`"platform_url":"http://127.0.0.1:7100","policy":"token","token":{"ready_address":"127.0.0.1:7003"}}`

func TestTokenDefaults(t *testing.T) {
	s, err := Parse([]byte(tokenVM))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Token.ConfigApply(), qt.Equals, defaultConfigApply)
	qt.Check(t, s.Token.Drain(), qt.Equals, defaultDrain)
	qt.Check(t, s.Token.FlowMax(), qt.Equals, defaultFlowMax)
	qt.Check(t, s.Token.StopGrace(), qt.Equals, defaultStopGrace)
}

func TestTokenSettingsRefused(t *testing.T) {
	for _, test := range []struct{ name, token, want string }{
		{"no readiness address", `{}`, `token.ready_address: got "invalid AddrPort", .*`},
		{"port 0", `{"ready_address":"127.0.0.1:0"}`, `token.ready_address: got "127.0.0.1:0", .*`},
		{"negative time", `{"ready_address":"127.0.0.1:1","drain_ms":-1}`, `token.drain_ms: got -1ms, .*`},
		{"unknown mechanism", `{"ready_address":"127.0.0.1:1","without":["tides"]}`, `token.without: .*got "tides", want a mechanism such as times.*`},
		{"absurd time", `{"ready_address":"127.0.0.1:1","flow_max_s":1e6}`, `token.flow_max_s: got .*`},
		{"unknown field", `{"ready_address":"127.0.0.1:1","pace":1}`, `token: got .*unknown field.*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			assertRefused(t, []byte(strings.Replace(tokenVM, `{"ready_address":"127.0.0.1:7003"}`, test.token, 1)), test.want)
		})
	}
}

var documentedTokenSetting = regexp.MustCompile("(?m)^\\| `token\\.(\\w+)` \\|")

func TestTokenSettingsAreDocumented(t *testing.T) {
	assertDocumented(t, documentedTokenSetting, reflect.TypeFor[TokenSettings]())
}
