package operator

import (
	"context"
	"encoding/json"
	"time"

	"baobabstep"
	"baobabstep/core/config"
)

// Node is what the interface asks of the VM that it runs on.
type Node interface {
	// Status says what the VM knows of the fleet beside the configuration.
	Status(now time.Time) NodeStatus
	// Explain says where a flow or request went and why. It returns
	// CodeNotFound if the VM knows nothing of it.
	Explain(ctx context.Context, q ExplainQuery) (Explanation, error)
}

// NodeStatus is a VM's own part of the status.
type NodeStatus struct {
	VM          string             `json:"vm"`
	Region      string             `json:"region"`
	DataCentre  string             `json:"data_centre"`
	DataCentres []DataCentreStatus `json:"data_centres"`
	Services    []ServiceStatus    `json:"services"`
}

// DataCentreStatus is what a VM knows of one data centre.
type DataCentreStatus struct {
	DataCentre string `json:"data_centre"`
	// VMs counts the VMs by state, as "alive".
	VMs map[string]int `json:"vms"`
	// Targets counts the targets by state, as "healthy" or "draining".
	Targets map[string]int `json:"targets"`
	Flows   int            `json:"flows"`
}

// ServiceStatus is what a VM knows of one service.
type ServiceStatus struct {
	Service  string `json:"service"`
	Targets  int    `json:"targets"`
	Flows    int    `json:"flows"`
	Requests int    `json:"requests"`
	// Imbalance is how far the load of the fullest target is above the mean:
	// 0.1 is 10 %.
	Imbalance float64 `json:"imbalance"`
}

// ExplainQuery names a flow or request as its caller sees it.
type ExplainQuery struct {
	Caller  string `json:"caller"`
	Service string `json:"service"`
	Number  uint64 `json:"number"`
}

// Explanation says where a flow or request went.
type Explanation struct {
	Flow    string `json:"flow"`
	Service string `json:"service"`
	Target  string `json:"target"`
	// Holder is the VM that decided, and Version the configuration it used.
	Holder  string   `json:"holder"`
	Version uint64   `json:"version"`
	State   string   `json:"state"`
	Why     []string `json:"why"`
}

// Envelope carries each answer. It always says how fresh the VM's copy is.
type Envelope struct {
	Code    baobabstep.Code `json:"code"`
	Name    string          `json:"name"`
	Error   string          `json:"error"`
	VM      string          `json:"vm"`
	Version uint64          `json:"version"`
	// CutOff says, in words, what the VM lacks; empty if nothing.
	CutOff []string        `json:"cut_off"`
	Answer json.RawMessage `json:"answer"`
}

// Status is the answer to [Client.Status].
type Status struct {
	Node    NodeStatus           `json:"node"`
	Replica config.ReplicaStatus `json:"replica"`
}

// Document names one template or account.
type Document struct {
	Kind config.ObjectKind `json:"kind"`
	Name string            `json:"name"`
	// Version is the version that last changed it.
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document,omitempty"`
	// Services, Targets and Drafts describe an account, UsedBy a template.
	Services int      `json:"services"`
	Targets  int      `json:"targets"`
	Drafts   []string `json:"drafts,omitempty"`
	UsedBy   int      `json:"used_by"`
	Doc      string   `json:"doc"`
}

// DocumentQuery asks for one document, or with an empty name for all of a kind
// without their contents.
type DocumentQuery struct {
	Kind config.ObjectKind `json:"kind"`
	Name string            `json:"name"`
}

// DraftQuery reads, writes or drops the operator's draft of an account.
type DraftQuery struct {
	Account string `json:"account"`
	// Document replaces the draft's document.
	Document json.RawMessage `json:"document,omitempty"`
	// Set sets single fields of the draft, or of the account in force.
	Set []FieldValue `json:"set,omitempty"`
	// Remove makes it a draft of the account's removal.
	Remove bool `json:"remove,omitempty"`
	Drop   bool `json:"drop,omitempty"`
}

// FieldValue is one field and its JSON value; an empty one removes the field.
type FieldValue struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

// DraftAnswer is a draft and what it changes.
type DraftAnswer struct {
	Draft      config.Draft         `json:"draft"`
	Difference []config.FieldChange `json:"difference"`
}

// ChangeQuery asks for a change. One of Account, Template, Target and Export
// is given.
type ChangeQuery struct {
	// ID is drawn by the client, so that it can ask again after a lost answer.
	ID      string   `json:"id"`
	Reason  string   `json:"reason"`
	Confirm []string `json:"confirm"`
	Merge   bool     `json:"merge"`
	DryRun  bool     `json:"dry_run"`
	// Account accepts the operator's draft of the account.
	Account string `json:"account,omitempty"`
	// Template puts a template's document.
	Template json.RawMessage `json:"template,omitempty"`
	// Target drains, or with Undrain undrains, a target.
	Target  string `json:"target,omitempty"`
	Undrain bool   `json:"undrain,omitempty"`
	// DataCentre evacuates a data centre, or with Restore ends that.
	DataCentre string         `json:"data_centre,omitempty"`
	Restore    bool           `json:"restore,omitempty"`
	Export     *config.Export `json:"export,omitempty"`
}

// ChangeAnswer is what became of a change.
type ChangeAnswer struct {
	Result config.Result `json:"result"`
	// AuditPending is set if the trail did not take the entry yet; the next
	// change, or audit verify, copies it.
	AuditPending string `json:"audit_pending"`
	// Draft is why the accepted draft could not be dropped, if so.
	Draft string `json:"draft"`
}

// AuditQuery asks for entries of the trail.
type AuditQuery struct {
	After uint64 `json:"after"`
	Limit int    `json:"limit"`
	// Subject, if set, selects the entries of one document, as
	// "account/tas-south".
	Subject string `json:"subject"`
	Verify  bool   `json:"verify"`
}

// AuditAnswer is the answer to [Client.Audit].
type AuditAnswer struct {
	Entries  []baobabstep.AuditEntry `json:"entries"`
	Verified int                     `json:"verified"`
}
