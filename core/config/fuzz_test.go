package config_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
)

// FuzzHandle passes arbitrary bytes to a replica as a peer's message. The replica
// must neither panic nor adopt a version that was never accepted.
func FuzzHandle(f *testing.F) {
	c := qt.New(f)
	s := newStore()
	mustAccept(c, s, firstChange(3, 2))
	fl := newFleet(1, 3, s)
	fl.onMessage = func(body []byte) {
		if len(body) < 4096 {
			f.Add(body)
		}
	}
	assertInForce(c, fl, 6*time.Second, 1)
	mustAccept(c, s, queueChange("second", 1, 2, -1, 9))
	assertInForce(c, fl, 6*time.Second, 2)
	self, other := fl.vms[0], fl.vms[1]
	digest := s.read(c).Digest
	f.Fuzz(func(t *testing.T, body []byte) {
		r := config.NewReplica(testStart, config.ReplicaOptions{Self: self})
		r.SetFleet(testStart, []baobabstep.VM{self, other})
		for i := range 3 {
			r.Handle(testStart.Add(time.Duration(i)*time.Second), other.ID, body)
			r.Tick(testStart.Add(time.Duration(i) * time.Second))
		}
		if set := r.Set(); set != nil && set.Digest != digest {
			t.Fatalf("got version %d in force out of one message", set.Manifest.Version)
		}
	})
}

// FuzzAccount decodes and renders arbitrary text as an account.
func FuzzAccount(f *testing.F) {
	f.Add(config.Encode(testAccount(1, 3)))
	f.Add([]byte(`{"format":1,"name":"a","doc":"","services":[{"name":"s","template":"plain","values":{"targets":[{"name":"t"}],"address":"[::1]:1"}}]}`))
	f.Add([]byte(`{"format":1,"name":"a","services":[{"template":"plain","values":{"queue_limit":1e99,"max_timeout":"-1h"}}]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		var a config.Account
		if config.Decode(document, &a) != nil {
			return
		}
		cfg, err := config.Render(config.RenderInput{Version: 1, Templates: []*config.Template{testTemplate()}, Accounts: []*config.Account{&a}})
		if err != nil {
			return
		}
		for _, s := range cfg.Services {
			if len(s.Targets) == 0 || s.MaxTimeout <= 0 || cfg.ServiceAt(s.Address) == nil {
				t.Fatalf("got a service that cannot be served: %+v", s)
			}
		}
	})
}
