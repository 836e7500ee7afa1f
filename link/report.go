package link

import "github.com/eelgrasshub/eelgrasshub/engine"

// Report goes from a node agent to the planner.
type Report struct {
	Report engine.Report `cbor:"1,keyasint"`
}

// ReportReply answers Report. A gateway that does not plan only says who does.
type ReportReply struct {
	// Epoch is the planner's; zero where the answering gateway does not plan.
	Epoch uint64 `cbor:"1,keyasint,omitempty"`
	// Attached: the worker's lease may be extended, reckoned from the sending of the
	// report.
	Attached  bool  `cbor:"2,keyasint,omitempty"`
	AckedEnds int64 `cbor:"3,keyasint,omitempty"`
	// Planner is where the planner is believed to be, empty where nobody knows.
	Planner string   `cbor:"4,keyasint,omitempty"`
	Members []string `cbor:"5,keyasint,omitempty"` // addresses of gateways
	// PollOften: the worker should be looked at often.
	PollOften bool `cbor:"6,keyasint,omitempty"`
	// Generation is the least that orders to the worker's present life carry; see engine.Fence.
	Generation uint64 `cbor:"7,keyasint,omitempty"`
	// Cordoned: the worker's availability zone is cordoned, as of the store's revision
	// CordonsAt; zero where the planner knows nothing of cordons.
	Cordoned  bool  `cbor:"8,keyasint,omitempty"`
	CordonsAt int64 `cbor:"9,keyasint,omitempty"`
}
