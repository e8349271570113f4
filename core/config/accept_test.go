package config_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
)

// read builds the version in the store.
func (s *store) read(c *qt.C) *config.Set {
	c.Helper()
	head, err := config.DecodeHead(s.keys[config.HeadKey].Value)
	c.Assert(err, qt.IsNil)
	set, missing, err := config.NewBuilder().Build(head.Manifest, func(d config.Digest) ([]byte, bool) {
		kv, ok := s.keys[config.ObjectKey(d)]
		return kv.Value, ok
	}, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(missing, qt.HasLen, 0)
	return set
}

func queueOf(set *config.Set, number int) int {
	for _, s := range set.Config.Services {
		if s.Account == accountName(number) {
			return s.QueueLimit
		}
	}
	return -1
}

// TestLostAnswers guards against a change that is lost or applied twice: each
// write of an accept in turn takes effect without being answered, has no effect,
// or finds the platform down. The accept must succeed and create one version.
func TestLostAnswers(t *testing.T) {
	writes := 0
	s := newStore()
	mustAccept(qt.New(t), s, firstChange(3, 2))
	s.onPut = func(string) (bool, baobabstep.Code) { writes++; return true, baobabstep.CodeOK }
	mustAccept(qt.New(t), s, queueChange("count", 1, 2, -1, 9))

	for _, fault := range []struct {
		name  string
		takes bool
		code  baobabstep.Code
	}{
		{"took effect, answer lost", true, baobabstep.CodePlatformUnknown},
		{"did not take effect, answer lost", false, baobabstep.CodePlatformUnknown},
		{"refused", false, baobabstep.CodePlatformUnavailable},
	} {
		for at := 1; at <= writes; at++ {
			t.Run(fmt.Sprintf("%s, write %d of %d", fault.name, at, writes), func(t *testing.T) {
				c := qt.New(t)
				s := newStore()
				mustAccept(c, s, firstChange(3, 2))
				n := 0
				s.onPut = func(string) (bool, baobabstep.Code) {
					n++
					if n == at {
						return fault.takes, fault.code
					}
					return true, baobabstep.CodeOK
				}
				res := mustAccept(c, s, queueChange("second", 1, 2, -1, 9))
				c.Assert(res.Version, qt.Equals, uint64(2))
				set := s.read(c)
				c.Assert(set.Manifest.Version, qt.Equals, uint64(2))
				c.Assert(queueOf(set, 1), qt.Equals, 9)
			})
		}
	}
}

// TestPlatformStopsDuringAccept guards against a wrong outcome reported to the
// operator when the platform goes down at each write in turn. The accept reports
// that nothing was accepted or, if the head may have been written, that the outcome
// is unknown. Repeating it with the same identifier creates one version.
func TestPlatformStopsDuringAccept(t *testing.T) {
	for at := 1; at <= 4; at++ {
		for _, takes := range []bool{false, true} {
			t.Run(fmt.Sprintf("write %d, takes effect %v", at, takes), func(t *testing.T) {
				c := qt.New(t)
				s := newStore()
				mustAccept(c, s, firstChange(3, 2))
				n := 0
				s.onPut = func(key string) (bool, baobabstep.Code) {
					n++
					if n == at {
						s.down = true
						return takes, baobabstep.CodePlatformUnknown
					}
					return true, baobabstep.CodeOK
				}
				change := queueChange("second", 1, 2, -1, 9)
				res := s.accept(testStart, change, config.AcceptOptions{})
				s.down, s.onPut = false, nil
				version := s.read(c).Manifest.Version
				switch code := baobabstep.CodeOf(res.Err); code {
				case baobabstep.CodeOK:
					c.Assert(n < at, qt.IsTrue)
					return
				case baobabstep.CodePlatformUnavailable:
					c.Assert(version, qt.Equals, uint64(1))
				default:
					c.Assert(code, qt.Equals, baobabstep.CodePlatformUnknown)
				}
				again := mustAccept(c, s, change)
				c.Assert(again.Version, qt.Equals, uint64(2))
				c.Assert(again.Repeated, qt.Equals, version == 2)
				c.Assert(s.read(c).Manifest.Version, qt.Equals, uint64(2))
			})
		}
	}
}

// TestTwoOperators guards against lost updates: two operators edit the same account
// from the same version. The second edit must conflict and list the first one's
// changes; with Merge, edits of different fields are combined.
func TestTwoOperators(t *testing.T) {
	timeoutOf := func(a *config.Account, d string) []byte {
		a.Services[0].Values["max_timeout"] = json.RawMessage(`"` + d + `"`)
		return config.Encode(a)
	}
	base := config.Encode(testAccount(1, 2))
	for _, rui := range []struct {
		name     string
		document []byte
		merge    bool
		code     baobabstep.Code
		collides int
	}{
		{"another field", timeoutOf(testAccount(1, 2), "20s"), false, baobabstep.CodeConflict, 0},
		{"another field, merged", timeoutOf(testAccount(1, 2), "20s"), true, baobabstep.CodeOK, 0},
		{"the same field, merged", config.Encode(withQueue(testAccount(1, 2), 11)), true, baobabstep.CodeConflict, 1},
		{"the same field to the same value, merged, and another", timeoutOf(withQueue(testAccount(1, 2), 9), "20s"), true, baobabstep.CodeOK, 0},
		{"removal", nil, true, baobabstep.CodeConflict, 0},
	} {
		t.Run(rui.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStore()
			mustAccept(c, s, firstChange(3, 2))
			mustAccept(c, s, queueChange("ana", 1, 2, -1, 9))
			res := s.accept(testStart, config.Change{
				ID: "rui", Operator: "rui", Reason: "slow ground", Action: "account accept", Merge: rui.merge,
				Edits: []config.Edit{{Kind: config.ObjectAccount, Name: accountName(1), Base: base, Document: rui.document}},
			}, config.AcceptOptions{})
			c.Assert(baobabstep.CodeOf(res.Err), qt.Equals, rui.code, qt.Commentf("%v", res.Err))
			c.Assert(res.Theirs, qt.HasLen, 1)
			c.Assert(res.Theirs[0].Path, qt.Equals, "services.main.values.queue_limit")
			c.Assert(res.Collisions, qt.HasLen, rui.collides)
			c.Assert(queueOf(s.read(c), 1), qt.Equals, 9)
		})
	}
}

// TestHeadRace guards against lost updates when another change, of another account,
// is accepted between the read and the write of the head. Both must be in force,
// and the second must be based on the first.
func TestHeadRace(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	mustAccept(c, s, firstChange(3, 2))
	once := false
	s.onPut = func(key string) (bool, baobabstep.Code) {
		if key == config.HeadKey && !once {
			once = true
			mustAccept(c, s, queueChange("other", 2, 2, -1, 5))
		}
		return true, baobabstep.CodeOK
	}
	res := mustAccept(c, s, queueChange("mine", 1, 2, -1, 9))
	c.Assert(res.Version, qt.Equals, uint64(3))
	set := s.read(c)
	c.Assert([]int{queueOf(set, 1), queueOf(set, 2)}, qt.DeepEquals, []int{9, 5})
	previous, err := config.DecodeManifest(s.keys[config.ObjectKey(set.Manifest.Previous)].Value)
	c.Assert(err, qt.IsNil)
	c.Assert(set.Manifest.Entry.PreviousHash, qt.Equals, previous.Entry.Hash)
}

func editChange(kind config.ObjectKind, name string, base, document any) config.Change {
	e := config.Edit{Kind: kind, Name: name}
	if base != nil {
		e.Base = config.Encode(base)
	}
	if document != nil {
		e.Document = config.Encode(document)
	}
	return config.Change{ID: "x", Operator: "ana", Reason: "try", Action: "test", Edits: []config.Edit{e}}
}

func TestRefused(t *testing.T) {
	values := func(a *config.Account, name, raw string) *config.Account {
		a.Services[0].Values[name] = json.RawMessage(raw)
		return a
	}
	account := func(f func(*config.Account) *config.Account) config.Change {
		return editChange(config.ObjectAccount, accountName(1), testAccount(1, 3), f(testAccount(1, 3)))
	}
	template := func(f func(*config.Template)) config.Change {
		t := testTemplate()
		f(t)
		return editChange(config.ObjectTemplate, "plain", testTemplate(), t)
	}
	for _, one := range []struct {
		name   string
		change config.Change
		code   baobabstep.Code
		text   string
	}{
		{
			"value outside the range", account(func(a *config.Account) *config.Account { return values(a, "queue_limit", "101") }), baobabstep.CodeInvalid,
			"accounts.account-1.services.main.values.queue_limit: got 101, want from 0 to 100",
		},
		{"value of another type", account(func(a *config.Account) *config.Account { return values(a, "max_timeout", "5") }), baobabstep.CodeInvalid, `want a duration as "250ms"`},
		{"unknown parameter", account(func(a *config.Account) *config.Account { return values(a, "speed", "1") }), baobabstep.CodeInvalid, "values.speed: got 1, want a parameter of template plain"},
		{"no targets", account(func(a *config.Account) *config.Account { return values(a, "targets", "[]") }), baobabstep.CodeInvalid, "at least one target"},
		{"unknown template", account(func(a *config.Account) *config.Account { a.Services[0].Template = "none"; return a }), baobabstep.CodeInvalid, "the name of a template"},
		{"address of another service", account(func(a *config.Account) *config.Account { return values(a, "address", `"127.50.2.0:7000"`) }), baobabstep.CodeInvalid, "taken by service account-1/main"},
		{"target of another service", account(func(a *config.Account) *config.Account {
			return values(a, "targets", string(testAccount(2, 3).Services[0].Values["targets"]))
		}), baobabstep.CodeInvalid, "that no other target has"},
		{"data centre that does not serve", account(func(a *config.Account) *config.Account {
			return values(a, "targets", `[{"name":"n","address":"127.9.9.9:1","data_centre":"z"}]`)
		}), baobabstep.CodeInvalid, "one of the service's data centres"},
		{"two thirds of the capacity", account(func(a *config.Account) *config.Account {
			return values(a, "targets", `[{"name":"t-1-0","address":"127.100.1.1:9000","data_centre":"a"}]`)
		}), baobabstep.CodeDangerous, "account-1/main: connections for new work go from 6000 to 2000"},
		{"all targets drained", account(func(a *config.Account) *config.Account {
			return values(a, "targets", strings.ReplaceAll(string(a.Services[0].Values["targets"]), `"data_centre"`, `"drained":true,"data_centre"`))
		}), baobabstep.CodeDangerous, "from 6000 to 0"},
		{"service moved", account(func(a *config.Account) *config.Account { return values(a, "address", `"127.50.99.0:7000"`) }), baobabstep.CodeDangerous, "no longer at"},
		{"account removed", editChange(config.ObjectAccount, accountName(1), testAccount(1, 3), nil), baobabstep.CodeDangerous, "removed"},
		{"nothing changed", editChange(config.ObjectAccount, accountName(1), testAccount(1, 3), testAccount(1, 3)), baobabstep.CodeInvalid, "changes nothing"},
		{"template removed in use", editChange(config.ObjectTemplate, "plain", testTemplate(), nil), baobabstep.CodeInvalid, "the name of a template"},
		{"parameter removed in use", template(func(t *config.Template) {
			t.SchemaVersion = 2
			t.Parameters = slices.Delete(t.Parameters, 1, 2)
			t.Service.Targets = json.RawMessage("[]")
		}), baobabstep.CodeInvalid, "values.targets"},
		{"required parameter added", template(func(t *config.Template) {
			t.SchemaVersion = 2
			t.Parameters = append(t.Parameters, config.Parameter{Name: "new", Type: config.TypeString, Doc: "new"})
		}), baobabstep.CodeInvalid, "values.new: got nothing"},
		{"schema version not raised", template(func(t *config.Template) { t.Parameters[2].Default = json.RawMessage("9") }), baobabstep.CodeInvalid, "schema_version: got 1, want 2"},
		{"type changed", template(func(t *config.Template) {
			t.SchemaVersion = 2
			t.Parameters[2].Type = config.TypeNumber
			t.Service.QueueLimit = nil
		}), baobabstep.CodeInvalid, "add a parameter of another name"},
		{"one document twice", config.Change{ID: "x", Operator: "ana", Reason: "try", Action: "t", Edits: []config.Edit{
			{Kind: config.ObjectAccount, Name: "a"}, {Kind: config.ObjectAccount, Name: "a"},
		}}, baobabstep.CodeInvalid, "each document once"},
		{"no reason", config.Change{ID: "x", Operator: "ana", Action: "t", Edits: []config.Edit{{Kind: config.ObjectAccount, Name: "a"}}}, baobabstep.CodeInvalid, "change.reason"},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStore()
			mustAccept(c, s, firstChange(3, 3))
			puts := s.puts
			res := s.accept(testStart, one.change, config.AcceptOptions{})
			c.Assert(baobabstep.CodeOf(res.Err), qt.Equals, one.code, qt.Commentf("%v", res.Err))
			c.Assert(res.Err.Error(), qt.Contains, one.text)
			c.Assert(s.puts, qt.Equals, puts)
			if one.code == baobabstep.CodeDangerous {
				one.change.Confirm = []string{"account-1/main"}
				mustAccept(c, s, one.change)
			}
		})
	}
}

// TestQuarantine guards against packets of one service that reach a target of
// another: a VM with the old version still sends them to an address that was
// removed from the service, so the new version must quarantine the address.
func TestQuarantine(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	mustAccept(c, s, firstChange(3, 4))
	mustAccept(c, s, editChange(config.ObjectAccount, accountName(1), testAccount(1, 4), testAccount(1, 3)))
	set := s.read(c)
	c.Assert(set.Config.Quarantine, qt.HasLen, 1)
	q := set.Config.Quarantine[0]
	c.Assert(q.Address.String(), qt.Equals, "127.100.1.4:9000")
	c.Assert(q.Service, qt.Equals, baobabstep.MakeServiceID(accountName(1), "main"))
	c.Assert(q.Until, qt.Equals, uint64(2))
}

func TestDecodeStrict(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field": `{"format":1,"name":"a","doc":"","services":[],"colour":"red"}`,
		"trailing data": `{"format":1,"name":"a","doc":"","services":[]} {}`,
		"other type":    `{"format":"one"}`,
		"nothing":       ``,
	} {
		t.Run(name, func(t *testing.T) {
			var a config.Account
			qt.Assert(t, baobabstep.CodeOf(config.Decode([]byte(text), &a)), qt.Equals, baobabstep.CodeInvalid)
		})
	}
}
