package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Event is an input of Engine.Step.
type Event interface{ isEvent() }

// Submitted: a job is on record. Order is the revision at which it was accepted.
type Submitted struct {
	Job   workload.Job
	Order int64
	// Age is how long ago that was, as far as is known.
	Age time.Duration
}

// CancelRequested: a cancellation is on record. Order is its revision, 0 where that is
// not known.
type CancelRequested struct {
	Job   workload.JobID
	Order int64
}

// Restored is a job as a predecessor left it.
type Restored struct {
	Submitted
	Progress  *JobProgress // nil where the job was never touched
	Cancelled bool
	// CancelOrder is the revision of the cancellation.
	CancelOrder int64
}

// WorkerRestored is a worker that a predecessor knew.
type WorkerRestored struct{ Info WorkerInfo }

// OrdersEnded is what became of the orders of one action.
type OrdersEnded struct {
	Worker WorkerID
	Starts []StartResult
	Paces  []PaceResult
}

// Stored: a write made by Engine.Changes took effect.
type Stored struct{ Write Write }

// CatalogChanged: another version of the configuration is in force.
type CatalogChanged struct{ Catalog *catalog.Catalog }

// Tick lets time pass.
type Tick struct {
	// Wall is the time of day, by which occurrences are due.
	Wall time.Time
}

func (Submitted) isEvent()       {}
func (CancelRequested) isEvent() {}
func (Restored) isEvent()        {}
func (WorkerRestored) isEvent()  {}
func (OrdersEnded) isEvent()     {}
func (Stored) isEvent()          {}
func (CatalogChanged) isEvent()  {}
func (Tick) isEvent()            {}
