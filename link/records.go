package link

import (
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// JobQuery asks a gateway for the state of a job. With Records it reads the store where
// it does not know, for a gateway that can't.
type JobQuery struct {
	Job         workload.JobID `cbor:"1,keyasint"`
	ReadRecords bool           `cbor:"2,keyasint,omitempty"`
}

// JobQueryReply answers Lookup.
type JobQueryReply struct {
	// Known: State, Queue and Account are the job's.
	Known bool `cbor:"1,keyasint,omitempty"`
	// NotFound: there certainly is no such job.
	NotFound bool           `cbor:"2,keyasint,omitempty"`
	State    workload.State `cbor:"3,keyasint,omitempty"`
	Queue    string         `cbor:"4,keyasint,omitempty"`
	Account  string         `cbor:"5,keyasint,omitempty"`
}

// JobStatus returns the reply's state of the job, where it is Known.
func (r *JobQueryReply) JobStatus() engine.JobStatus {
	return engine.JobStatus{State: r.State, Queue: r.Queue, Account: r.Account}
}

// PendingQuery asks the planner for the jobs of each queue that have not begun.
type PendingQuery struct{}

// PendingQueryReply answers Pending.
type PendingQueryReply struct {
	Planning bool           `cbor:"1,keyasint,omitempty"`
	Counts   map[string]int `cbor:"2,keyasint,omitempty"`
}

// WriteJob asks a peer to write a job's record.
type WriteJob struct {
	Job workload.Job `cbor:"1,keyasint"`
}

// WriteCancellation asks a peer to write a cancellation.
type WriteCancellation struct {
	Job   workload.JobID `cbor:"1,keyasint"`
	Queue string         `cbor:"2,keyasint"`
}

// WriteOutcome is what became of a record.
type WriteOutcome int

// Outcomes.
const (
	OutcomeUnknown     WriteOutcome = iota // it may have been written, or may still be
	OutcomeStored                          // it is on record
	OutcomeNotStored                       // it was not written and never will be
	OutcomeJobNotFound                     // there is no such job
	OutcomeIDConflict                      // the name stands for another job
)

// String returns a name for logs and metrics.
func (o WriteOutcome) String() string {
	switch o {
	case OutcomeStored:
		return "on record"
	case OutcomeNotStored:
		return "not done"
	case OutcomeJobNotFound:
		return "no such job"
	case OutcomeIDConflict:
		return "names another job"
	}
	return "unknown"
}

// WriteReply answers Accept and Cancel.
type WriteReply struct {
	Outcome WriteOutcome `cbor:"1,keyasint"`
}

// RecordNotice tells the planner of a record before its watch does.
type RecordNotice struct {
	Job *workload.Job `cbor:"1,keyasint,omitempty"`
	// Revision is the revision of the job's record.
	Revision int64          `cbor:"2,keyasint,omitempty"`
	Cancel   workload.JobID `cbor:"3,keyasint,omitempty"`
}

// RecordNoticeReply answers Notice.
type RecordNoticeReply struct{}
