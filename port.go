package baobabstep

import (
	"context"
	"net/netip"
	"time"
)

// Packets exchanges packets with callers, targets and other VMs. The adapter
// defines the wire format.
type Packets interface {
	// Receive blocks until a packet arrives, fills batch and returns the count.
	// Payloads stay valid until the next Receive on the same value. Malformed
	// datagrams are counted and skipped.
	Receive(ctx context.Context, batch []Packet) (int, error)
	// Send sends what it can. Packets without a known address are counted.
	Send(batch []OutgoingPacket) error
	Close() error
}

// AddressBook resolves destinations for [Packets].
type AddressBook interface {
	// TargetAddress returns false for a target that is not configured.
	TargetAddress(TargetID) (address netip.AddrPort, ok bool)
	VMAddress(VMID) (address netip.AddrPort, ok bool)
}

// PeerMessage is one control message between VMs.
type PeerMessage struct {
	// Topic selects the handler: one of the Topic constants.
	Topic string
	From  VMID
	// Body is the CBOR encoding of the topic's message type.
	Body []byte
}

// Topics of control messages.
const (
	TopicMember = "member"
	TopicConfig = "config"
	TopicTarget = "target"
	TopicAudit  = "audit"
)

// Peers exchanges control messages between VMs. Messages may be lost,
// duplicated, or reordered across topics; the sender is authenticated.
type Peers interface {
	// Send queues a message and never blocks; if the queue is full it drops it.
	Send(to VMID, m PeerMessage) error
	// Messages returns the received messages. It is closed after Close.
	Messages() <-chan PeerMessage
	// SetPeers replaces the addresses that Send may use.
	SetPeers(vms []VM)
	Close() error
}

// KeyValue is one value of the platform's store. Revision grows with each write
// to any key, so revisions of different keys are comparable.
type KeyValue struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Platform is the platform's key-value service and list of VMs. Every method
// may fail with CodePlatformUnavailable. If a write may have been applied the
// error is CodePlatformUnknown, and the caller has to read the value back.
type Platform interface {
	// Get returns CodeNotFound if the key does not exist.
	Get(ctx context.Context, key string) (KeyValue, error)
	// Put writes if the key's revision is expected (0: must not exist) and
	// returns the new revision, otherwise CodeConflict. An empty value removes
	// the key; Watch then returns it with an empty value.
	Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error)
	// List returns the values whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// Watch waits until a key under prefix has a revision above after, or wait
	// has passed, and returns the changed values. CodeCompacted means that
	// revisions were lost and that the caller has to List.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KeyValue, error)
	// Lease grants or renews holder's lease on name. It returns the fencing
	// number of the grant, or CodeConflict while another holds it. A lease is
	// advisory: a paused holder may not notice that it expired.
	Lease(ctx context.Context, name, holder string, ttl time.Duration) (uint64, error)
	// VMs returns the platform's list of VMs, which may lag.
	VMs(ctx context.Context) ([]VM, error)
}

// Clock returns the present time. Only package node and adapters use it; core
// packages take the time as an argument.
type Clock interface {
	Now() time.Time
}

// AuditEntry is one entry of the audit trail.
type AuditEntry struct {
	Sequence     uint64    `json:"sequence"`
	At           time.Time `json:"at"`
	Operator     string    `json:"operator"`
	Action       string    `json:"action"`
	Subject      string    `json:"subject"`
	Reason       string    `json:"reason"`
	ChangeID     string    `json:"change_id"`
	BaseVersion  uint64    `json:"base_version"`
	NewVersion   uint64    `json:"new_version"`
	Difference   []string  `json:"difference"`
	PreviousHash string    `json:"previous_hash"`
	Hash         string    `json:"hash"`
}

// AuditSink stores audit entries.
type AuditSink interface {
	Append(ctx context.Context, e AuditEntry) error
}

// Chooser picks targets for new work and adapts to the outcomes. It is safe for
// concurrent use.
type Chooser interface {
	// PickFlow returns a target with room for one more flow of the service,
	// preferring data centre near; draw is a random number. It returns a Code
	// other than CodeOK if no target can take the flow. The target counts as
	// having one more open flow until FlowClosed.
	PickFlow(now time.Time, service *Service, near string, draw uint64) (TargetID, Code)
	// FlowOpened counts a flow reported by another VM or a target.
	FlowOpened(now time.Time, target TargetID)
	// FlowClosed reverts a PickFlow or FlowOpened.
	FlowClosed(now time.Time, target TargetID)
	// FlowRefused reverts a PickFlow and records the refusal as evidence.
	FlowRefused(now time.Time, target TargetID, code Code)
}
