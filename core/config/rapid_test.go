package config_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"baobabstep"
	"baobabstep/core/config"
)

// fleetModel runs a fleet and its operators under random faults. Invariants: the
// version in force on a VM never decreases and is one that was accepted, and all
// VMs converge once the faults end.
type fleetModel struct {
	f           *fleet
	s           *store
	accepted    map[config.Digest]uint64
	queueLimits []int
	changes     int
}

func (m *fleetModel) check(t *rapid.T) {
	if m.f.reverted > 0 || len(m.f.violated) > 0 {
		t.Fatalf("reverted %d, violated %v", m.f.reverted, m.f.violated)
	}
	for _, vm := range m.f.vms {
		r := m.f.replicas[vm.ID]
		if r.Current() == nil {
			continue
		}
		if v, ok := m.accepted[r.Set().Digest]; !ok || v != r.Current().Version {
			t.Fatalf("%s has version %d in force, which was not accepted", vm.Name, r.Current().Version)
		}
	}
}

// accept changes one account; the platform may lose the answer to any write.
func (m *fleetModel) accept(t *rapid.T) {
	number := rapid.IntRange(0, len(m.queueLimits)-1).Draw(t, "account")
	lose := rapid.IntRange(0, 8).Draw(t, "lose")
	n := 0
	m.s.onPut = func(string) (bool, baobabstep.Code) {
		n++
		if n == lose {
			return n%2 == 0, baobabstep.CodePlatformUnknown
		}
		return true, baobabstep.CodeOK
	}
	m.changes++
	to := (m.queueLimits[number] + 1) % 100
	res := m.s.accept(m.f.now, queueChange(fmt.Sprint(m.changes), number, 2, m.queueLimits[number], to), config.AcceptOptions{})
	m.s.onPut = nil
	if m.s.down {
		if res.Err == nil {
			t.Fatalf("got success from a platform that is down")
		}
		return
	}
	if res.Err != nil {
		t.Fatalf("got %v, want success", res.Err)
	}
	m.queueLimits[number] = to
	m.recordHead(t)
}

func (m *fleetModel) recordHead(t *rapid.T) {
	head, err := config.DecodeHead(m.s.keys[config.HeadKey].Value)
	if err != nil {
		t.Fatal(err)
	}
	m.accepted[head.Manifest] = head.Version
}

func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{s: newStore(), accepted: map[config.Digest]uint64{}, queueLimits: []int{-1, -1, -1, -1, -1}}
		if res := m.s.accept(testStart, firstChange(len(m.queueLimits), 2), config.AcceptOptions{}); res.Err != nil {
			t.Fatal(res.Err)
		}
		m.recordHead(t)
		m.f = newFleet(rapid.IntRange(1, 3).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "vms"), m.s)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"wait": func(t *rapid.T) {
				m.f.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * tick)
			},
			"accept":   m.accept,
			"platform": func(*rapid.T) { m.s.down = !m.s.down },
			"lossy":    func(t *rapid.T) { m.f.lossShare = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "lossy") },
			"restart": func(t *rapid.T) {
				m.f.start(rapid.SampledFrom(m.f.vms).Draw(t, "vm").ID)
			},
			"partition": func(t *rapid.T) {
				side := map[baobabstep.VMID]bool{0: true}
				for _, vm := range m.f.vms {
					side[vm.ID] = rapid.Bool().Draw(t, "side")
				}
				m.f.cut = func(from, to baobabstep.VMID) bool { return side[from] != side[to] }
			},
			"heal": func(*rapid.T) { m.f.cut = nil },
		})
		m.s.down, m.f.cut, m.f.lossShare = false, nil, 0
		head, err := config.DecodeHead(m.s.keys[config.HeadKey].Value)
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.f.run(10*time.Second, head.Version); !ok {
			t.Fatalf("version %d not in force everywhere 10 s after the faults ended: %v", head.Version, m.f.versions)
		}
		m.check(t)
	})
}
