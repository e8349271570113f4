package baobabstep

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// VMID identifies one VM: the xxhash of its configured name. It is stable
// across restarts; [VM.Incarnation] distinguishes them.
type VMID uint64

// TargetID identifies one target: the xxhash of its configured name. Names are
// unique within a configuration, and validation rejects colliding hashes.
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

// FlowKey identifies one flow or request as its caller sees it.
type FlowKey struct {
	// Caller is the address that answers go to.
	Caller netip.AddrPort
	// Service is the service address that the caller used.
	Service netip.AddrPort
	// Number is chosen by the caller. It is unique among the caller's flows and
	// requests and is not reused within an hour.
	Number uint64
}

// String returns the form used in logs.
func (k FlowKey) String() string {
	return fmt.Sprintf("%v>%v#%x", k.Caller, k.Service, k.Number)
}

// KeyHash is the keyed 128-bit hash of a [FlowKey]. Its key is a secret of the
// configuration, so that callers cannot provoke collisions.
type KeyHash [16]byte
