package link

import (
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Lookup asks a gateway for the state of a job. With Records it reads the store where
// it does not know, for a gateway that can't.
type Lookup struct {
	Job     workload.JobID `cbor:"1,keyasint"`
	Records bool           `cbor:"2,keyasint,omitempty"`
}

// LookupReply answers Lookup.
type LookupReply struct {
	// Known: State, Queue and Account are the job's.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Absent: there certainly is no such job.
	Absent  bool           `cbor:"2,keyasint,omitempty"`
	State   workload.State `cbor:"3,keyasint,omitempty"`
	Queue   string         `cbor:"4,keyasint,omitempty"`
	Account string         `cbor:"5,keyasint,omitempty"`
}

// Lookup returns the reply's state of the job, where it is Known.
func (r *LookupReply) Lookup() engine.JobStatus {
	return engine.JobStatus{State: r.State, Queue: r.Queue, Account: r.Account}
}

// Pending asks the planner for the jobs of each queue that have not begun.
type Pending struct{}

// PendingReply answers Pending.
type PendingReply struct {
	Planning bool           `cbor:"1,keyasint,omitempty"`
	Counts   map[string]int `cbor:"2,keyasint,omitempty"`
}

// Accept asks a peer to write a job's record.
type Accept struct {
	Job workload.Job `cbor:"1,keyasint"`
}

// Cancel asks a peer to write a cancellation.
type Cancel struct {
	Job   workload.JobID `cbor:"1,keyasint"`
	Queue string         `cbor:"2,keyasint"`
}

// Outcome is what became of a record.
type Outcome int

// Outcomes.
const (
	OutcomeUnknown  Outcome = iota // it may have been written, or may still be
	OutcomeStored                  // it is on record
	OutcomeNotDone                 // it was not written and never will be
	OutcomeAbsent                  // there is no such job
	OutcomeMismatch                // the name stands for another job
)

// String returns a name for logs and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeStored:
		return "on record"
	case OutcomeNotDone:
		return "not done"
	case OutcomeAbsent:
		return "no such job"
	case OutcomeMismatch:
		return "names another job"
	}
	return "unknown"
}

// RecordReply answers Accept and Cancel.
type RecordReply struct {
	Outcome Outcome `cbor:"1,keyasint"`
}

// Notice tells the planner of a record before its watch does.
type Notice struct {
	Job *workload.Job `cbor:"1,keyasint,omitempty"`
	// Order is the revision of the job's record.
	Order  int64          `cbor:"2,keyasint,omitempty"`
	Cancel workload.JobID `cbor:"3,keyasint,omitempty"`
}

// NoticeReply answers Notice.
type NoticeReply struct{}
