package link

import "github.com/eelgrasshub/eelgrasshub/engine"

// Report is sent by a node agent to the planner, periodically and after changes.
type Report struct {
	Report engine.Report `cbor:"1,keyasint"`
}

// ReportReply answers Report. A gateway that is not the active planner fills in only Planner and
// Members.
type ReportReply struct {
	// Epoch is the planner's, zero if the sender is not the active planner.
	Epoch uint64 `cbor:"1,keyasint,omitempty"`
	// Attached reports whether the agent may extend the worker's lease, counted from when it sent
	// the report.
	Attached bool `cbor:"2,keyasint,omitempty"`
	// AckedEnds is the highest number of an ended run that the worker may forget.
	AckedEnds int64 `cbor:"3,keyasint,omitempty"`
	// Planner is the address of the believed planner, empty if unknown.
	Planner string   `cbor:"4,keyasint,omitempty"`
	Members []string `cbor:"5,keyasint,omitempty"` // addresses of gateways
	// PollOften asks the agent to poll the worker at short intervals.
	PollOften bool `cbor:"6,keyasint,omitempty"`
	// Generation is the lowest generation of orders to the worker's current incarnation; see
	// engine.Fence.
	Generation uint64 `cbor:"7,keyasint,omitempty"`
	// Cordoned reports whether the worker's availability zone is cordoned as of the store
	// revision CordonsRevision, which is zero if the planner has not read the cordons.
	Cordoned        bool  `cbor:"8,keyasint,omitempty"`
	CordonsRevision int64 `cbor:"9,keyasint,omitempty"`
}
