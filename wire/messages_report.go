package wire

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/gang"
)

// FieldGroups says which groups of fields a delta report carries.
type FieldGroups uint8

// Groups of an AgentReport's fields.
const (
	// ChangedLocation: Service, Region, Zone, Rack, Address.
	ChangedLocation FieldGroups = 1 << iota
	// ChangedCapacity: Accelerators, Slots, Connections, Cores, MemoryMB.
	ChangedCapacity
	// ChangedDraining: Draining.
	ChangedDraining
	// ChangedLoad: Load.
	ChangedLoad
	// ChangedTasks: Tasks holds the changed ones, Ended the removed ones.
	ChangedTasks
	// ChangedGenerations: Generations.
	ChangedGenerations
	changedGroupsEnd
)

// ChangedAll is every group.
const ChangedAll = changedGroupsEnd - 1

// AgentReport is what an agent says of its worker and target. A full report
// replaces all that was known of the agent. A delta (Full false) carries the
// groups named in Changed: all that changed after sequence Base. Who knows the
// agent at any sequence from Base on may apply it.
type AgentReport struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Sequence    uint64 `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the agent made the report, as far as relays know.
	Age          time.Duration `cbor:"4,keyasint,omitempty"`
	Full         bool          `cbor:"5,keyasint,omitempty"`
	BaseSequence uint64        `cbor:"6,keyasint,omitempty"`
	Changed      FieldGroups   `cbor:"7,keyasint,omitempty"`
	// Departed: the agent has stopped; this incarnation does not come back.
	Departed bool `cbor:"8,keyasint,omitempty"`

	Service string `cbor:"10,keyasint,omitempty"`
	Region  string `cbor:"11,keyasint,omitempty"`
	Zone    string `cbor:"12,keyasint,omitempty"`
	Rack    string `cbor:"13,keyasint,omitempty"`
	Address string `cbor:"14,keyasint,omitempty"`

	Accelerators int `cbor:"15,keyasint,omitempty"`
	Slots        int `cbor:"16,keyasint,omitempty"`
	Connections  int `cbor:"17,keyasint,omitempty"`
	Cores        int `cbor:"18,keyasint,omitempty"`
	MemoryMB     int `cbor:"19,keyasint,omitempty"`

	// Draining is final within an incarnation.
	Draining     bool              `cbor:"20,keyasint,omitempty"`
	Load         Load              `cbor:"21,keyasint,omitzero"`
	Tasks        []gang.Task       `cbor:"22,keyasint,omitempty"`
	RemovedTasks []gang.ID         `cbor:"23,keyasint,omitempty"`
	Generations  []DocumentSummary `cbor:"24,keyasint,omitempty"`
	// FencingEpoch is the highest planner epoch that the agent has heard of. It goes
	// with the group ChangedTasks.
	FencingEpoch uint64 `cbor:"25,keyasint,omitempty"`
	// PlannerTimestamp is that of the planner's last answer. It is of this report alone and
	// in no group.
	PlannerTimestamp gang.PlannerTimestamp `cbor:"26,keyasint,omitzero"`
	// CanRelay: the agent can relay the reports of its rack. It goes with the group
	// ChangedPlace and does not change within an incarnation.
	CanRelay bool `cbor:"27,keyasint,omitempty"`
}

// InvalidPlannerTimestamp is the stamp of a report that must not count as evidence of a gang,
// however late it comes: it is in no planner's epoch.
var InvalidPlannerTimestamp = gang.PlannerTimestamp{Epoch: ^uint64(0)}

// Load is the state of a target's queue. Marked counts answers that carried a
// congestion mark.
type Load struct {
	Running         int    `cbor:"1,keyasint,omitempty"`
	Queued          int    `cbor:"2,keyasint,omitempty"`
	CongestionMarks uint64 `cbor:"3,keyasint,omitempty"`
}

// Report carries one or many agents' reports: an aggregator or another entry
// may relay them. Known is the Digest of the last ReportAck with content, so
// that unchanged content is not repeated.
type Report struct {
	Reports     []AgentReport `cbor:"1,keyasint,omitempty"`
	KnownDigest uint64        `cbor:"2,keyasint,omitempty"`
}

// ReportAck answers Report. When Digest equals the report's Known, Entries and
// Relay are left out because they have not changed.
//
// A relay answers its members with it too. Its Entries are then those that take
// its reports now: a member need not report to them itself.
type ReportAck struct {
	Entries []EntryInfo `cbor:"1,keyasint,omitempty"`
	Digest  uint64      `cbor:"4,keyasint,omitempty"`
	// NeedFull names agents whose delta could not be applied.
	NeedFull []string `cbor:"5,keyasint,omitempty"`
	// NewerIncarnations names agents that the receiver knows at a later incarnation.
	NewerIncarnations []AgentIncarnation `cbor:"6,keyasint,omitempty"`
	// Refused names agents whose report was shed; they report again after
	// NextReport.
	Refused []string `cbor:"7,keyasint,omitempty"`
	// NextReportIn, if set, is when the sender should report next at the
	// earliest; changes that stop new work (draining, goodbye) don't wait.
	NextReportIn time.Duration `cbor:"8,keyasint,omitempty"`
	// RenewedAttempts lists the attempts of the reporting agents that their planner holds
	// whole. It and Stamp come from the entry that plans alone.
	RenewedAttempts  []gang.ID             `cbor:"9,keyasint,omitempty"`
	PlannerTimestamp gang.PlannerTimestamp `cbor:"10,keyasint,omitzero"`
	// Relay is the agent by which those of the sender's rack report, the sender
	// itself included. The zero value: each reports by itself.
	Relay RelayInfo `cbor:"11,keyasint,omitzero"`
}

// RelayInfo names an agent that relays reports, in one of its incarnations.
type RelayInfo struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Address     string `cbor:"3,keyasint,omitempty"`
}

// AgentIncarnation is an agent's incarnation as the receiver knows it.
type AgentIncarnation struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// EntryInfo is where an entry is found.
type EntryInfo struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	Address     string `cbor:"2,keyasint,omitempty"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
}

// DocumentSummary names the version of a service's document.
type DocumentSummary = document.Summary

func init() {
	Register(KindReport, Report{})
	Register(KindReportAck, ReportAck{})
}
