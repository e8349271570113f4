package baobabstep

import (
	"net/netip"
	"time"
)

// VMState is the state of a VM as another one sees it.
type VMState uint8

// States of a VM.
const (
	// VMAlive answers probes.
	VMAlive VMState = iota
	// VMSuspect missed probes. It may be dead, paused or cut off.
	VMSuspect
	// VMLeaving announced a planned stop and hands over its records.
	VMLeaving
	// VMDead stopped as planned, or was silent past the suspicion timeout.
	VMDead
)

// VM is one entry VM of the fleet.
type VM struct {
	ID         VMID
	Name       string
	Region     string
	DataCentre string
	Rack       string
	// DataAddress receives packets of the data path (UDP).
	DataAddress netip.AddrPort
	// PeerAddress receives control messages (WebSocket over TCP).
	PeerAddress netip.AddrPort
	// Incarnation grows each time the VM starts or refutes a suspicion.
	Incarnation uint64
	State       VMState
	// Joining is set while the VM has started but takes no role: it does not
	// know enough yet to tell new work from old.
	Joining bool
}

// View is the membership of one region as one VM sees it. It is immutable; each
// change makes a new one.
type View struct {
	// Number grows with each change seen by this VM. VMs do not share it.
	Number uint64
	Self   VMID
	// Members are the VMs that may hold flows (alive or suspect), sorted by ID.
	// VMs that are joining, leaving or dead are not included.
	Members []VM
	// ChangedAt is when this VM last saw a member join or leave.
	ChangedAt time.Time
	// Unsure is set while a VM that may hold records is neither reachable nor
	// declared dead (suspects, a partition, a recent pause). A missing record
	// proves nothing then.
	Unsure bool
}
