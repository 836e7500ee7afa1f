package link

import (
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// JobQuery asks a gateway for the state of a job. With ReadRecords, which is for senders that
// cannot reach the store, the gateway reads the records if it does not know the job.
type JobQuery struct {
	Job         workload.JobID `cbor:"1,keyasint"`
	ReadRecords bool           `cbor:"2,keyasint,omitempty"`
}

// JobQueryReply answers JobQuery.
type JobQueryReply struct {
	// Known reports whether State, Queue and Account are set.
	Known bool `cbor:"1,keyasint,omitempty"`
	// NotFound is set if the job certainly does not exist.
	NotFound bool           `cbor:"2,keyasint,omitempty"`
	State    workload.State `cbor:"3,keyasint,omitempty"`
	Queue    string         `cbor:"4,keyasint,omitempty"`
	Account  string         `cbor:"5,keyasint,omitempty"`
}

// JobStatus returns the job's status if the reply is Known.
func (r *JobQueryReply) JobStatus() engine.JobStatus {
	return engine.JobStatus{State: r.State, Queue: r.Queue, Account: r.Account}
}

// PendingQuery asks the planner for the number of jobs in each queue that have not started.
type PendingQuery struct{}

// PendingQueryReply answers PendingQuery. Counts are valid only if the sender is planning.
type PendingQueryReply struct {
	Planning bool           `cbor:"1,keyasint,omitempty"`
	Counts   map[string]int `cbor:"2,keyasint,omitempty"`
}

// WriteJob asks a peer to write a job's record to the store.
type WriteJob struct {
	Job workload.Job `cbor:"1,keyasint"`
}

// WriteCancellation asks a peer to write a job's cancellation to the store.
type WriteCancellation struct {
	Job   workload.JobID `cbor:"1,keyasint"`
	Queue string         `cbor:"2,keyasint"`
}

// WriteOutcome is the outcome of writing a record.
type WriteOutcome int

// Outcomes of a write.
const (
	OutcomeUnknown     WriteOutcome = iota // it may have been written, or may be written later
	OutcomeStored                          // the record is stored
	OutcomeNotStored                       // it was not written and never will be
	OutcomeJobNotFound                     // the job does not exist
	OutcomeIDConflict                      // the ID belongs to another job
)

// String returns the outcome's name in logs and metrics.
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

// WriteReply answers WriteJob and WriteCancellation.
type WriteReply struct {
	Outcome WriteOutcome `cbor:"1,keyasint"`
}

// RecordNotice informs the planner of a new job record or cancellation before its watch does.
type RecordNotice struct {
	Job *workload.Job `cbor:"1,keyasint,omitempty"`
	// Revision is the store revision of the job's record.
	Revision int64          `cbor:"2,keyasint,omitempty"`
	Cancel   workload.JobID `cbor:"3,keyasint,omitempty"`
}

// RecordNoticeReply answers RecordNotice.
type RecordNoticeReply struct{}
