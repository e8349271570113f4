// Package setting reads the settings file of one VM.
//
// A settings file says where one VM is and how it talks: its name and data
// centre, its addresses, the platform's addresses and the keys shared with
// other VMs and operators. It says nothing of services: those are part of the
// configuration, which the VM reads from the platform or from its peers.
//
// Reading is strict. An unknown field, a value out of range or a file cut
// short ends in one error with code 501 that names the field and what is
// allowed.
package setting

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"baobabstep"
)

// Defaults and bounds of optional settings.
const (
	DefaultShards      = 2
	MaxShards          = 64
	DefaultStopTimeout = 20 * time.Second
	MaxStopTimeout     = 10 * time.Minute
	MinKeyBytes        = 16
	MaxKeys            = 2
	maxFileBytes       = 1 << 20
)

// Policies that Settings.Policy may name. The first is the default.
var Policies = []string{"replicated", "hash_table", "slot_table", PolicyToken}

// PolicyToken is the policy that finds targets by the token that callers repeat.
// It needs a wire with room for one and a platform that lists targets; see
// TokenSettings.
const PolicyToken = "token"

// LogLevels that Settings.LogLevel may name.
var LogLevels = []string{"debug", "info", "warn", "error"}

// Settings are the settings of one VM.
type Settings struct {
	// Name is the VM's name, unique in the fleet.
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Rack keeps the two copies of a record apart; empty means unknown.
	Rack string `json:"rack,omitempty"`

	// DataAddress and PeerAddress are bound; the advertised addresses are
	// what other VMs use, and default to the bound ones.
	DataAddress          netip.AddrPort `json:"data_address"`
	PeerAddress          netip.AddrPort `json:"peer_address"`
	AdvertiseDataAddress netip.AddrPort `json:"advertise_data_address,omitzero"`
	AdvertisePeerAddress netip.AddrPort `json:"advertise_peer_address,omitzero"`
	// MetricsAddress serves /metrics, /healthz and /readyz.
	MetricsAddress netip.AddrPort `json:"metrics_address"`
	// OperatorAddress serves the operators' interface; empty turns it off.
	OperatorAddress netip.AddrPort `json:"operator_address,omitzero"`
	// StreamHost is the IP on which TCP services are listened for, at the
	// port of each service address; empty turns the TCP listeners off.
	StreamHost netip.Addr `json:"stream_host,omitzero"`

	// PlatformURL is the base URL of the platform's service.
	PlatformURL string `json:"platform_url"`
	// Seeds are peer addresses tried until the platform's list is known.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`

	// PeerKeys are one or two shared keys in hex, the first used to send.
	PeerKeys []string `json:"peer_keys"`
	// OperatorKeys are the keys that operators' commands may use.
	OperatorKeys []OperatorKey `json:"operator_keys,omitempty"`

	// Shards is the number of sockets and reader goroutines.
	Shards int `json:"shards,omitempty"`
	// Policy chooses how flows are routed; see Policies.
	Policy string `json:"policy,omitempty"`
	// LogLevel is one of LogLevels; default info.
	LogLevel string `json:"log_level,omitempty"`
	// StopTimeoutMS bounds a planned stop, in milliseconds.
	StopTimeoutMS int `json:"stop_timeout_ms,omitempty"`
	// Token holds what only PolicyToken uses.
	Token TokenSettings `json:"token,omitzero"`
	// FatalInvariants ends the process at a broken invariant. For tests.
	FatalInvariants bool `json:"fatal_invariants,omitempty"`
}

// OperatorKey is a secret shared with operators.
type OperatorKey struct {
	ID string `json:"id"`
	// Operator, if set, is the only operator who may use the key.
	Operator string `json:"operator,omitempty"`
	Secret   string `json:"secret"`
}

// namePattern says which names are safe in keys, logs and metric labels; isName
// checks it. A regular expression would be compiled at each start, while callers wait.
const namePattern = `^[a-z0-9][a-z0-9._-]{0,62}$`

const maxName = 63

func isName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for i, c := range []byte(name) {
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		case i > 0 && (c == '.' || c == '_' || c == '-'):
		default:
			return false
		}
	}
	return true
}

// Read reads and checks the settings file at path.
func Read(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fail("%v", err)
	}
	return Parse(raw)
}

// Parse checks raw and fills in the defaults.
func Parse(raw []byte) (*Settings, error) {
	if len(raw) > maxFileBytes {
		return nil, fail("file: got %d bytes, want at most %d", len(raw), maxFileBytes)
	}
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, fail("%s", describe(raw, err))
	}
	if decoder.More() {
		return nil, fail("file: got data after the settings object, want one object")
	}
	s.fill()
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// describe finds the field that err, an error of decoding raw, is about. The
// decoder names no field when a value's own text is wrong, so each field is
// decoded alone until one fails.
func describe(raw []byte, err error) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil {
		return "file: " + err.Error()
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		one, marshalErr := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		if marshalErr != nil {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(one))
		decoder.DisallowUnknownFields()
		if fieldErr := decoder.Decode(new(Settings)); fieldErr != nil {
			return name + ": got " + string(fields[name]) + ": " + strings.TrimPrefix(fieldErr.Error(), "json: ")
		}
	}
	return err.Error()
}

func (s *Settings) fill() {
	if !s.AdvertiseDataAddress.IsValid() {
		s.AdvertiseDataAddress = s.DataAddress
	}
	if !s.AdvertisePeerAddress.IsValid() {
		s.AdvertisePeerAddress = s.PeerAddress
	}
	if s.Shards == 0 {
		s.Shards = DefaultShards
	}
	if s.Policy == "" {
		s.Policy = Policies[0]
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.Policy == PolicyToken {
		s.Token.fill()
	}
	if s.StopTimeoutMS == 0 {
		s.StopTimeoutMS = int(DefaultStopTimeout / time.Millisecond)
	}
}

// check returns the first rule that the settings break.
func (s *Settings) check() error {
	checks := []func() error{
		s.checkNames, s.checkAddresses, s.checkPlatform, s.checkKeys, s.checkChoices, s.checkToken,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	names := []struct {
		path, value string
		optional    bool
	}{
		{"name", s.Name, false},
		{"region", s.Region, false},
		{"data_centre", s.DataCentre, false},
		{"rack", s.Rack, true},
	}
	for _, n := range names {
		if n.optional && n.value == "" {
			continue
		}
		if !isName(n.value) {
			return fail("%s: got %q, want %s", n.path, n.value, namePattern)
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	addresses := []struct {
		path     string
		value    netip.AddrPort
		optional bool
	}{
		{"data_address", s.DataAddress, false},
		{"peer_address", s.PeerAddress, false},
		{"advertise_data_address", s.AdvertiseDataAddress, false},
		{"advertise_peer_address", s.AdvertisePeerAddress, false},
		{"metrics_address", s.MetricsAddress, false},
		{"operator_address", s.OperatorAddress, true},
	}
	bound := map[netip.AddrPort]string{}
	for _, a := range addresses {
		if a.optional && !a.value.IsValid() {
			continue
		}
		if !a.value.IsValid() || a.value.Port() == 0 || a.value.Addr().IsUnspecified() {
			return fail("%s: got %q, want IP:port with a port above 0 and an IP of this VM", a.path, a.value)
		}
		if strings.HasPrefix(a.path, "advertise_") || a.path == "data_address" {
			continue // UDP and TCP ports do not clash; advertised ones are not bound.
		}
		if other, taken := bound[a.value]; taken {
			return fail("%s: got %v, which is also %s; want different addresses", a.path, a.value, other)
		}
		bound[a.value] = a.path
	}
	return nil
}

func (s *Settings) checkPlatform() error {
	u, err := url.Parse(s.PlatformURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fail("platform_url: got %q, want an http or https URL", s.PlatformURL)
	}
	seen := map[netip.AddrPort]bool{}
	for i, seed := range s.Seeds {
		if seen[seed] || !seed.IsValid() {
			return fail("seeds[%d]: got %q, want IP:port, each once", i, seed)
		}
		seen[seed] = true
	}
	return nil
}

func (s *Settings) checkKeys() error {
	if len(s.PeerKeys) == 0 && s.Policy != PolicyToken {
		return fail("peer_keys: got none, want 1 to %d keys", MaxKeys)
	}
	if s.OperatorAddress.IsValid() && len(s.OperatorKeys) == 0 {
		return fail("operator_keys: got none, want at least one, since operator_address is set")
	}
	if err := checkKeyList("peer_keys", s.PeerKeys); err != nil {
		return err
	}
	ids := map[string]bool{}
	for i, key := range s.OperatorKeys {
		if key.ID == "" || ids[key.ID] {
			return fail("operator_keys[%d].id: got %q, want a name of its own", i, key.ID)
		}
		ids[key.ID] = true
		if len(key.Secret) < MinKeyBytes {
			return fail("operator_keys[%d].secret: got %d bytes, want at least %d", i, len(key.Secret), MinKeyBytes)
		}
	}
	return nil
}

// checkKeyList never puts a key into an error.
func checkKeyList(path string, keys []string) error {
	if len(keys) > MaxKeys {
		return fail("%s: got %d keys, want at most %d", path, len(keys), MaxKeys)
	}
	for i, key := range keys {
		raw, err := hex.DecodeString(key)
		if err != nil || len(raw) < MinKeyBytes {
			return fail("%s[%d]: got a key of %d characters, want at least %d bytes in hex", path, i, len(key), MinKeyBytes)
		}
	}
	return nil
}

func (s *Settings) checkChoices() error {
	if s.Shards < 1 || s.Shards > MaxShards {
		return fail("shards: got %d, want 1 to %d", s.Shards, MaxShards)
	}
	if !slices.Contains(Policies, s.Policy) {
		return fail("policy: got %q, want one of %s", s.Policy, strings.Join(Policies, ", "))
	}
	if !slices.Contains(LogLevels, s.LogLevel) {
		return fail("log_level: got %q, want one of %s", s.LogLevel, strings.Join(LogLevels, ", "))
	}
	limit := int(MaxStopTimeout / time.Millisecond)
	if s.StopTimeoutMS < 0 || s.StopTimeoutMS > limit {
		return fail("stop_timeout_ms: got %d, want 1 to %d", s.StopTimeoutMS, limit)
	}
	return nil
}

// VM returns what other VMs are told of this one.
func (s *Settings) VM() baobabstep.VM {
	return baobabstep.VM{
		ID:          baobabstep.MakeVMID(s.Name),
		Name:        s.Name,
		Region:      s.Region,
		DataCentre:  s.DataCentre,
		Rack:        s.Rack,
		DataAddress: s.AdvertiseDataAddress,
		PeerAddress: s.AdvertisePeerAddress,
	}
}

// StopTimeout returns the time a planned stop may take.
func (s *Settings) StopTimeout() time.Duration {
	return time.Duration(s.StopTimeoutMS) * time.Millisecond
}

// Keys decodes a checked list of keys.
func Keys(list []string) [][]byte {
	keys := make([][]byte, 0, len(list))
	for _, key := range list {
		raw, err := hex.DecodeString(key)
		if err != nil {
			panic("setting: key list was not checked")
		}
		keys = append(keys, raw)
	}
	return keys
}

func fail(format string, args ...any) error {
	return baobabstep.Errorf(baobabstep.CodeSettings, "settings", format, args...)
}
