package platform

import (
	"net/netip"

	"baobabstep"
)

// Paths of the platform's HTTP interface.
const (
	PathKey   = "/v1/key"
	PathList  = "/v1/list"
	PathWatch = "/v1/watch"
	PathLease = "/v1/lease"
	PathVMs   = "/v1/vms"
)

// HeaderEra is in all answers: how often the store came back from a backup. It then
// lacks its last changes, and gives their revisions out again. Without the header it
// never does.
const HeaderEra = "Revision-Era"

// KeyAnswer answers a read of one key.
type KeyAnswer struct {
	KeyValue baobabstep.KeyValue `json:"key_value"`
	// StoreRevision is the revision of the whole store that the answer was
	// made at.
	StoreRevision uint64 `json:"store_revision"`
}

// ListAnswer answers a list or a watch.
type ListAnswer struct {
	Values        []baobabstep.KeyValue `json:"values"`
	StoreRevision uint64                `json:"store_revision"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Expected uint64 `json:"expected"`
}

// PutAnswer answers a write.
type PutAnswer struct {
	Revision uint64 `json:"revision"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	TTLMS  int64  `json:"ttl_ms"`
}

// LeaseAnswer grants a lease.
type LeaseAnswer struct {
	Fencing uint64 `json:"fencing"`
}

// ErrorAnswer is the body of an answer that is not 2xx.
type ErrorAnswer struct {
	Error string `json:"error"`
}

// VM is one line of the platform's list of VMs.
type VM struct {
	Name        string         `json:"name"`
	Region      string         `json:"region"`
	DataCentre  string         `json:"data_centre"`
	Rack        string         `json:"rack"`
	DataAddress netip.AddrPort `json:"data_address"`
	PeerAddress netip.AddrPort `json:"peer_address"`
	Incarnation uint64         `json:"incarnation"`
	Leaving     bool           `json:"leaving"`
}

// FromVM returns the wire form of a VM.
func FromVM(v baobabstep.VM) VM {
	return VM{
		Name: v.Name, Region: v.Region, DataCentre: v.DataCentre, Rack: v.Rack, DataAddress: v.DataAddress,
		PeerAddress: v.PeerAddress, Incarnation: v.Incarnation, Leaving: v.State == baobabstep.VMLeaving,
	}
}

// VM returns the VM that the line stands for.
func (v VM) VM() baobabstep.VM {
	out := baobabstep.VM{
		ID: baobabstep.MakeVMID(v.Name), Name: v.Name, Region: v.Region, DataCentre: v.DataCentre, Rack: v.Rack,
		DataAddress: v.DataAddress, PeerAddress: v.PeerAddress, Incarnation: v.Incarnation,
	}
	if v.Leaving {
		out.State = baobabstep.VMLeaving
	}
	return out
}
