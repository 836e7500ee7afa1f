package jobs

import "time"

// AnyAgent in Members stands for all agents of the domain and makes the record
// a permit. A planner version without support for permits waits for the loss
// timeout of this agent before it starts the job again.
const AnyAgent = "*"

// IsPermit reports whether the record is a permit: the planner of Epoch may
// have started the job, under any Number and on any agents.
func (r Record) IsPermit() bool {
	return r.State == Starting && len(r.Members) == 1 && r.Members[0].Agent == AnyAgent
}

// EligibleForPermit reports whether a permit may be written over the record. A
// job that is not repeatable gets none, because a lost permit leaves no proof
// of whether the job ran. Neither does a job that has been started before,
// because WithoutPermit could not tell it from one that never ran.
func (r Record) EligibleForPermit() bool {
	return r.State == Queued && r.Attempt == 0 && r.Spec.Repeatable
}

// WithPermit returns the record as a permit for the planner of the epoch. From
// then on a cancellation only requests a stop (CancelRecord), and a successor
// has to search the agents for the job.
func (r Stored) WithPermit(epoch uint64) Stored {
	r.State = Starting
	r.Attempt = 1
	r.Epoch = epoch
	r.Number = 0
	r.Members = []Member{{Agent: AnyAgent}}
	return r
}

// WithoutPermit returns the record of a job whose permit was not used. Only
// the planner that holds the permit can know that, and it must not use the
// permit afterwards.
func (r Stored) WithoutPermit() Stored {
	r.State = Queued
	r.Attempt = 0
	r.Epoch = 0
	r.Members = nil
	r.Started = time.Time{}
	return r
}

// Placement returns the members of the attempt that the record names, or nil
// for a permit.
func (r Record) Placement() []Member {
	if r.IsPermit() {
		return nil
	}
	return r.Members
}
