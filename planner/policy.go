package planner

import (
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// schedulerPolicy returns the scheduler's policy for a document.
func schedulerPolicy(active *document.ActiveVersion) scheduler.Policy {
	d := active.Document
	p := scheduler.Policy{
		Generation:        active.Version.Generation,
		Objective:         scheduler.CompletionTime,
		FailureThreshold:  d.Health.FailureThreshold,
		JobFailureWorkers: d.Health.JobFailureWorkers,
		QuarantineFor:     d.Health.Quarantine.Duration,
	}
	if d.Objective == document.Fragmentation {
		p.Objective = scheduler.Fragmentation
	}
	for _, a := range d.Accounts {
		p.Accounts = append(p.Accounts, AccountPolicy(a))
	}
	return p
}

// AccountPolicy returns the scheduler's policy for a client account of a
// document.
func AccountPolicy(a document.Account) scheduler.AccountPolicy {
	p := scheduler.AccountPolicy{
		ID:        scheduler.AccountID(a.Name),
		Weight:    a.Weight,
		MaxQueued: a.MaxJobs,
	}
	for _, g := range a.Guaranteed {
		p.Guaranteed = append(p.Guaranteed, scheduler.Shape{
			Accelerators: g.Accelerators,
			Adjacency:    schedulerAdjacency(string(g.Adjacent)),
			Count:        g.Count,
		})
	}
	return p
}

func schedulerAdjacency(name string) scheduler.Adjacency {
	switch document.Adjacency(name) {
	case document.SameWorker:
		return scheduler.AdjacentWorker
	case document.SameRack:
		return scheduler.AdjacentRack
	case document.SameZone:
		return scheduler.AdjacentZone
	default:
		return scheduler.AdjacentAny
	}
}

// schedulerJob returns the scheduler's view of a record. Priority, urgency and
// borrowing are taken from the class in the active document, so that operators
// can change them for waiting jobs.
func schedulerJob(r jobs.Record, d *document.Document) scheduler.Job {
	j := scheduler.Job{
		ID:             scheduler.JobID(r.ID),
		Account:        scheduler.AccountID(r.Spec.Account),
		Class:          r.Spec.Class,
		Accelerators:   r.Spec.Accelerators,
		Adjacency:      schedulerAdjacency(r.Spec.Adjacency),
		Cores:          r.Spec.Cores,
		MemoryMB:       r.Spec.MemoryMB,
		Estimate:       r.Spec.Estimate,
		Repeatable:     r.Spec.Repeatable,
		Checkpointable: r.Spec.Checkpointable,
		Submitted:      r.Submitted,
		LastAttempt:    scheduler.Attempt(r.Attempt),
	}
	if c, ok := d.Class(r.Spec.Class); ok {
		j.Priority = c.Priority
		j.Urgent = c.Urgent
		j.NoBorrow = !c.MayBorrow
	}
	return j
}
