package jobs

import "time"

// AnyAgent stands in Members for all agents of the domain: the record is a permit.
// A planner of a version that knows no permits takes it for an agent that it never
// hears of, and waits out the loss timeout before it starts the job again.
const AnyAgent = "*"

// IsPermit tells whether the record is a permit: the planner of Epoch may have
// started the job, under any Number and on any agents. Only the agents know.
func (r Record) IsPermit() bool {
	return r.State == Starting && len(r.Members) == 1 && r.Members[0].Agent == AnyAgent
}

// EligibleForPermit tells whether a permit may be written over the record. A job that
// must not run twice gets none: a permit whose planner is gone leaves no proof of
// whether the job ran. Neither does a job that has been started before, since
// WithoutPermit could not tell it from one that never ran.
func (r Record) EligibleForPermit() bool {
	return r.State == Queued && r.Attempt == 0 && r.Spec.Repeatable
}

// WithPermit returns the record as a permit for the planner of the epoch. Every
// claim that the job did not run has to wait from then on: a cancellation only
// asks (CancelFrom), and a successor has to look for the job at the agents.
func (r Stored) WithPermit(epoch uint64) Stored {
	r.State = Starting
	r.Attempt = 1
	r.Epoch = epoch
	r.Number = 0
	r.Members = []Member{{Agent: AnyAgent}}
	return r
}

// WithoutPermit returns the record of a job whose permit was never used. Only the
// planner that holds the permit can know that, and it must not use it any more.
func (r Stored) WithoutPermit() Stored {
	r.State = Queued
	r.Attempt = 0
	r.Epoch = 0
	r.Members = nil
	r.Started = time.Time{}
	return r
}

// Placement returns the members of the attempt that the record names, nil for a
// permit.
func (r Record) Placement() []Member {
	if r.IsPermit() {
		return nil
	}
	return r.Members
}
