package node

import (
	"net/netip"
	"sync/atomic"

	"baobabstep"
)

// Book resolves the destinations of packets. Reads take no lock: each change
// publishes new maps.
type Book struct {
	config atomic.Pointer[baobabstep.Config]
	vms    atomic.Pointer[map[baobabstep.VMID]netip.AddrPort]
}

var _ baobabstep.AddressBook = (*Book)(nil)

// TargetAddress implements [baobabstep.AddressBook]. Targets that the present
// configuration no longer has are resolved by Send.Address instead.
func (b *Book) TargetAddress(id baobabstep.TargetID) (netip.AddrPort, bool) {
	c := b.config.Load()
	if c == nil {
		return netip.AddrPort{}, false
	}
	t := c.Target(id)
	if t == nil {
		return netip.AddrPort{}, false
	}
	return t.Address, true
}

// VMAddress implements [baobabstep.AddressBook].
func (b *Book) VMAddress(id baobabstep.VMID) (netip.AddrPort, bool) {
	vms := b.vms.Load()
	if vms == nil {
		return netip.AddrPort{}, false
	}
	address, ok := (*vms)[id]
	return address, ok
}

func (b *Book) setConfig(c *baobabstep.Config) { b.config.Store(c) }

// setVMs keeps VMs that are leaving or suspect: packets may still go to them.
func (b *Book) setVMs(all []baobabstep.VM) {
	vms := make(map[baobabstep.VMID]netip.AddrPort, len(all))
	for _, vm := range all {
		if vm.State != baobabstep.VMDead {
			vms[vm.ID] = vm.DataAddress
		}
	}
	b.vms.Store(&vms)
}
