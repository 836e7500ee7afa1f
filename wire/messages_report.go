package wire

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/gang"
)

// FieldGroups is a set of groups of AgentReport fields.
type FieldGroups uint8

// Groups of AgentReport fields. A delta report carries the groups in which a field has
// changed.
const (
	// ChangedLocation contains Service, Region, Zone, Rack, Address and CanRelay.
	ChangedLocation FieldGroups = 1 << iota
	// ChangedCapacity contains Accelerators, Slots, Connections, Cores and MemoryMB.
	ChangedCapacity
	// ChangedDraining contains Draining.
	ChangedDraining
	// ChangedLoad contains Load.
	ChangedLoad
	// ChangedTasks contains the changed tasks in Tasks, the removed ones in
	// RemovedTasks, and FencingEpoch.
	ChangedTasks
	// ChangedGenerations contains Generations.
	ChangedGenerations
	changedGroupsEnd
)

// ChangedAll contains all groups.
const ChangedAll = changedGroupsEnd - 1

// AgentReport is the state of an agent, its worker and its target. A full report
// replaces the receiver's state of the agent. A delta (Full is false) carries the
// groups in Changed, with all changes after sequence BaseSequence. A receiver that
// knows the agent's state at BaseSequence or later may apply it.
type AgentReport struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Sequence    uint64 `cbor:"3,keyasint,omitempty"`
	// Age is the time since the agent created the report, as far as known to relays.
	Age          time.Duration `cbor:"4,keyasint,omitempty"`
	Full         bool          `cbor:"5,keyasint,omitempty"`
	BaseSequence uint64        `cbor:"6,keyasint,omitempty"`
	Changed      FieldGroups   `cbor:"7,keyasint,omitempty"`
	// Departed means that the agent has stopped and that this incarnation does not
	// return.
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

	// Draining is not reset within an incarnation.
	Draining     bool              `cbor:"20,keyasint,omitempty"`
	Load         Load              `cbor:"21,keyasint,omitzero"`
	Tasks        []gang.Task       `cbor:"22,keyasint,omitempty"`
	RemovedTasks []gang.ID         `cbor:"23,keyasint,omitempty"`
	Generations  []DocumentSummary `cbor:"24,keyasint,omitempty"`
	// FencingEpoch is the highest planner epoch known to the agent. It belongs to
	// ChangedTasks.
	FencingEpoch uint64 `cbor:"25,keyasint,omitempty"`
	// PlannerTimestamp is the timestamp of the planner's last answer. It applies to
	// this report only and belongs to no group.
	PlannerTimestamp gang.PlannerTimestamp `cbor:"26,keyasint,omitzero"`
	// CanRelay means that the agent can relay the reports of its rack. It belongs to
	// ChangedLocation and is constant within an incarnation.
	CanRelay bool `cbor:"27,keyasint,omitempty"`
}

// InvalidPlannerTimestamp is the timestamp of a report that must never count as
// evidence of a running gang, however late it arrives: it belongs to no planner's
// epoch.
var InvalidPlannerTimestamp = gang.InvalidTimestamp

// Load is the state of a target's queue. CongestionMarks counts the answers with a
// congestion mark.
type Load struct {
	Running         int    `cbor:"1,keyasint,omitempty"`
	Queued          int    `cbor:"2,keyasint,omitempty"`
	CongestionMarks uint64 `cbor:"3,keyasint,omitempty"`
}

// Report carries the reports of one or more agents, which a relay or another entry may
// forward. KnownDigest is the Digest of the last ReportAck with content, so
// that unchanged content is not repeated.
type Report struct {
	Reports     []AgentReport `cbor:"1,keyasint,omitempty"`
	KnownDigest uint64        `cbor:"2,keyasint,omitempty"`
}

// ReportAck answers Report. If Digest equals the report's KnownDigest, Entries and
// Relay are omitted because they have not changed.
//
// A relay also answers its members with it. Entries are then those to which it delivers
// reports, so that a member need not report to them itself.
type ReportAck struct {
	Entries []EntryInfo `cbor:"1,keyasint,omitempty"`
	Digest  uint64      `cbor:"4,keyasint,omitempty"`
	// NeedFull lists the agents whose delta could not be applied.
	NeedFull []string `cbor:"5,keyasint,omitempty"`
	// NewerIncarnations lists the agents of which the receiver knows a later
	// incarnation.
	NewerIncarnations []AgentIncarnation `cbor:"6,keyasint,omitempty"`
	// Refused lists the agents whose report was rejected; they report again after
	// NextReportIn.
	Refused []string `cbor:"7,keyasint,omitempty"`
	// NextReportIn, if set, is the minimum time until the sender's next report. Changes
	// that stop new work (draining, departure) are reported at once.
	NextReportIn time.Duration `cbor:"8,keyasint,omitempty"`
	// RenewedAttempts lists the reporting agents' attempts with several members all of
	// whom the planner knows to be alive, so that their tasks may run on. It and
	// PlannerTimestamp are set only by the entry that plans.
	RenewedAttempts  []gang.ID             `cbor:"9,keyasint,omitempty"`
	PlannerTimestamp gang.PlannerTimestamp `cbor:"10,keyasint,omitzero"`
	// Relay is the agent that relays the reports of the sender's rack, possibly the
	// sender itself. The zero value means that each agent reports directly.
	Relay RelayInfo `cbor:"11,keyasint,omitzero"`
}

// RelayInfo identifies one incarnation of an agent that relays reports.
type RelayInfo struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Address     string `cbor:"3,keyasint,omitempty"`
}

// AgentIncarnation is the latest incarnation of an agent known to the receiver.
type AgentIncarnation struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// EntryInfo is the identity and address of an entry.
type EntryInfo struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	Address     string `cbor:"2,keyasint,omitempty"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
}

// DocumentSummary identifies a version of a service's document.
type DocumentSummary = document.Summary

func init() {
	Register(KindReport, Report{})
	Register(KindReportAck, ReportAck{})
}
