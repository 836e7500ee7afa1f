package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// Phase is where a live job stands, in more detail than its record says.
type Phase string

// Phases of a live job.
const (
	Queued   Phase = "queued"
	Starting Phase = "starting"
	Running  Phase = "running"
	Stopping Phase = "stopping"
)

// job is a live job of the domain. The planner's goroutine owns it.
type job struct {
	stored  jobs.Stored
	phase   Phase
	attempt scheduler.Attempt
	// decidedRevision is the revision of the record that the attempt was decidedRevision on.
	decidedRevision store.Revision
	coord           *gang.Coordinator // nil while queued
	wakeTimer       *time.Timer       // of the coordinator
	// lastEnded is how the lastEnded attempt ended; it decides between failed and unknown
	// when the scheduler gives the job up.
	lastEnded gang.Ended
	// endedAttempt is the last attempt that the record may name and that has ended. Later
	// ones that were given up before their record don't change it.
	endedAttempt gang.ID
	permit       permitState
	// permitPlan is the plan of the last attempt on a permit, by this planner or found
	// by its search.
	permitPlan gang.Plan
	// withheld: the scheduler does not know the job for now.
	withheld bool
	// unresolved: the record is a permit of another planner, and it is not known yet what
	// was started on it. Since heldAt, by clock.Now.
	unresolved      bool
	unresolvedSince time.Time
	// stopLeftovers: what is left of an attempt on that permit has to be stopped.
	stopLeftovers bool
	// notFound: the search found nothing of it.
	notFound bool
	// mayHaveStarted is set once an attempt may have started, as far as anyone can prove.
	mayHaveStarted bool
	// started is set with the first start, for the waiting time.
	started bool
	// failures counts attempts that the job itself failed.
	failures int
	// exceeded is set when the job is being stopped for a exceeded of its class.
	exceeded *exceededLimit
	// finalRecord is the final record while it is being written.
	finalRecord *jobs.Stored
}

// isWaiting says whether the job is accepted and no attempt of it is being made.
func (j *job) isWaiting() bool {
	return j.phase == Queued && j.coord == nil && j.finalRecord == nil
}

// mayHaveRun says whether a task of the job may ever have started. Nobody may be
// told then that it did not run.
func (j *job) mayHaveRun() bool { return j.started || j.mayHaveStarted || j.permit.mayBeUsed }

// updateRecord takes a later form of the record, but for what this planner knows better.
func (j *job) updateRecord(r jobs.Stored) {
	old := j.stored
	j.stored = r
	if len(old.Restore) > 0 {
		j.stored.Restore = old.Restore
	}
	if r.IsPermit() {
		j.stored.Attempt = max(r.Attempt, old.Attempt)
		j.stored.Started = old.Started
	}
}

func (j *job) members() []jobs.Member {
	if j.coord == nil {
		return nil
	}
	return recordMembers(j.coord.Plan())
}

func recordMembers(p gang.Plan) []jobs.Member {
	out := make([]jobs.Member, 0, len(p.Members))
	for _, m := range p.Members {
		out = append(out, jobs.Member{
			Agent:        m.Agent,
			Incarnation:  m.Incarnation,
			Accelerators: m.Accelerators,
		})
	}
	return out
}

// recordedPlan is the plan that a record names.
func recordedPlan(r jobs.Record) gang.Plan {
	p := gang.Plan{ID: gang.ID{Job: r.ID, Epoch: r.Epoch, Number: r.Number}}
	for _, m := range r.Members {
		p.Members = append(p.Members, gang.PlannedMember{
			Agent:        m.Agent,
			Incarnation:  m.Incarnation,
			Accelerators: m.Accelerators,
		})
	}
	return p
}

func schedulerPlacement(plan gang.Plan) scheduler.Placement {
	var p scheduler.Placement
	for _, m := range plan.Members {
		p = append(p, scheduler.Grant{Worker: scheduler.WorkerID(m.Agent), Accelerators: m.Accelerators})
	}
	return p
}
