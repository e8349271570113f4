package baobabstep

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// VMID identifies one VM: the xxhash of its configured name. It stays the same
// over restarts; [VM.Incarnation] tells restarts apart.
type VMID uint64

// TargetID identifies one target: the xxhash of its configured name. Names are
// unique over the whole configuration, and validation refuses colliding hashes.
type TargetID uint64

// ServiceID identifies one service: the xxhash of "account/service".
type ServiceID uint64

// MakeVMID returns the identifier of the VM called name.
func MakeVMID(name string) VMID { return VMID(xxhash.Sum64String(name)) }

// MakeTargetID returns the identifier of the target called name.
func MakeTargetID(name string) TargetID { return TargetID(xxhash.Sum64String(name)) }

// MakeServiceID returns the identifier of a service of a client account.
func MakeServiceID(account, service string) ServiceID {
	return ServiceID(xxhash.Sum64String(account + "/" + service))
}

// FlowKey names one flow or request stream as its caller sees it.
type FlowKey struct {
	// Caller is the address that answers go to.
	Caller netip.AddrPort
	// Service is the service address that the caller used.
	Service netip.AddrPort
	// Number is chosen by the caller; it differs between its flows and
	// between its requests, and is never used again within an hour.
	Number uint64
}

// String returns the key in the form used by logs.
func (k FlowKey) String() string {
	return fmt.Sprintf("%v>%v#%x", k.Caller, k.Service, k.Number)
}

// KeyHash is the keyed 128-bit hash of a [FlowKey]. The key of the hash is a
// secret of the configuration, so that callers cannot aim collisions.
type KeyHash [16]byte
