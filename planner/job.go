package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// Phase is the state of a live job in more detail than in its record.
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
	// baseRevision is the revision of the record that the attempt is based
	// on.
	baseRevision store.Revision
	coord        *gang.Coordinator // nil if no attempt is being made
	attachedAt   time.Time         // when coord was attached, by clock.Now
	wakeTimer    *time.Timer       // for the coordinator's next Wake
	// lastEnded is how the last attempt ended. It distinguishes failed from
	// unknown when the scheduler gives the job up.
	lastEnded gang.Ended
	// endedAttempt is the last ended attempt that the record may name. Later
	// attempts that were aborted before they were recorded don't change it.
	endedAttempt gang.ID
	permit       permitState
	// permitPlan is the plan of the last attempt on a permit, started by this
	// planner or found by its search.
	permitPlan gang.Plan
	// withheld is set while the job is kept out of the scheduler.
	withheld bool
	// unresolved is set while the record is a permit of another planner and it
	// is not known what was started on it. unresolvedSince is when that began,
	// by clock.Now.
	unresolved      bool
	unresolvedSince time.Time
	// stopLeftovers is set if the remaining tasks of an incomplete attempt on
	// that permit have to be stopped.
	stopLeftovers bool
	// notFound is set if the search found no attempt of the job.
	notFound bool
	// mayHaveStarted is set once it can't be proved that no attempt started.
	mayHaveStarted bool
	// started is set by the first start, at which the waiting time is
	// measured.
	started bool
	// failures counts the attempts in which the job itself failed, those of
	// predecessors as recorded with their next start.
	failures int
	// exceeded is set while the job is being stopped for a limit of its class.
	exceeded *exceededLimit
	// finalRecord is the final record while it is being written, or while the
	// attempt of a job that was ended elsewhere is being aborted.
	finalRecord *jobs.Stored
}

// startsConfirmed reports whether the targets of the attempt have confirmed its
// start.
func (j *job) startsConfirmed() bool { return j.coord == nil || j.coord.StartsConfirmed() }

// isWaiting reports whether the job is queued, has no attempt and is not
// ending.
func (j *job) isWaiting() bool {
	return j.phase == Queued && j.coord == nil && j.finalRecord == nil
}

// mayHaveRun reports whether a task of the job may ever have started. The
// caller must then not be told that the job did not run.
func (j *job) mayHaveRun() bool { return j.started || j.mayHaveStarted || j.permit.mayHaveBeenUsed }

// updateRecord replaces the record by a later version, but keeps the fields
// that this planner knows better.
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

// recordedPlan returns the plan that a record names.
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
