package emulator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
	"baobabstep/core/mix"
)

const (
	// probeInterval is the time between two readiness checks of a VM, and
	// probeMisses the number of misses after which it is out of rotation.
	probeInterval = 500 * time.Millisecond
	probeMisses   = 2
)

// fabric hands each packet of a caller to a VM of its data centre.
type fabric struct {
	world *World
}

// check asks a VM whether it is ready, for ever.
func (f *fabric) check(v *vm) {
	if v.answersChecks(f.world.now) {
		v.misses, v.rotated = 0, true
	} else if v.misses++; v.misses >= probeMisses {
		v.rotated = false
	}
	f.world.after(probeInterval, func() { f.check(v) })
}

// pick returns the VM that gets a packet; nil if there is none at all.
func (f *fabric) pick(key baobabstep.FlowKey, dataCentre int) *vm {
	if v := f.among(key, f.world.sites[dataCentre].vms); v != nil {
		return v
	}
	for i := range f.world.sites {
		if v := f.among(key, f.world.sites[i].vms); i != dataCentre && v != nil {
			return v
		}
	}
	return nil
}

// among picks one of the VMs of a data centre that are in rotation, or of all of
// them if fewer than half are; nil if none is.
func (f *fabric) among(key baobabstep.FlowKey, vms []*vm) *vm {
	rotated := 0
	for _, v := range vms {
		if v.rotated {
			rotated++
		}
	}
	if rotated == 0 {
		return nil
	}
	all := 2*rotated < len(vms)
	if f.world.deployment.Hash == HashMod {
		return modulo(key, vms, all, rotated)
	}
	var best *vm
	var most uint64
	hash := flowHash(key)
	for _, v := range vms {
		if !all && !v.rotated {
			continue
		}
		if weight := mix.Uint64(hash ^ v.salt); best == nil || weight > most {
			best, most = v, weight
		}
	}
	return best
}

func modulo(key baobabstep.FlowKey, vms []*vm, all bool, rotated int) *vm {
	count := uint64(rotated)
	if all {
		count = uint64(len(vms))
	}
	at := mix.Uint64(flowHash(key)) % count
	for _, v := range vms {
		if !all && !v.rotated {
			continue
		}
		if at == 0 {
			return v
		}
		at--
	}
	return nil
}

func flowHash(key baobabstep.FlowKey) uint64 {
	var b [12]byte
	caller := key.Caller.Addr().As4()
	copy(b[:], caller[:])
	service := key.Service.Addr().As4()
	copy(b[4:], service[:])
	b[8], b[9] = byte(key.Caller.Port()>>8), byte(key.Caller.Port())
	b[10], b[11] = byte(key.Service.Port()>>8), byte(key.Service.Port())
	return xxhash.Sum64(b[:])
}
