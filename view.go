package baobabstep

import (
	"net/netip"
	"time"
)

// VMState is what a VM believes of another.
type VMState uint8

// States of a VM, as one member of the fleet sees it.
const (
	// VMAlive answers probes.
	VMAlive VMState = iota
	// VMSuspect missed probes. It may be dead, paused or cut off.
	VMSuspect
	// VMLeaving announced a planned stop and hands over what it holds.
	VMLeaving
	// VMDead left in good order, or was silent past the suspicion timeout.
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
	// Joining is set while the VM has started but takes no role yet: it does
	// not know enough to tell new work from old.
	Joining bool
}

// View is the membership of one region as one VM sees it at one moment. It is
// immutable; a change makes a new one.
type View struct {
	// Number grows with each change seen by this VM. It means nothing to
	// other VMs.
	Number uint64
	Self   VMID
	// Members are the VMs that may hold flows (alive or suspect), sorted by
	// ID. VMs that are joining, leaving or dead are not among them.
	Members []VM
	// ChangedAt is when this VM last saw a member come or go.
	ChangedAt time.Time
	// Unsure is set while a VM that may hold records can be neither reached
	// nor declared dead (suspects, a partition, a recent pause): "no record
	// found" then proves nothing.
	Unsure bool
}
