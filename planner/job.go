package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/platform"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
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
	// decided is the revision of the record that the attempt was decided on.
	decided platform.Revision
	coord   *gang.Coordinator // nil while queued
	timer   *time.Timer       // of the coordinator
	// last is how the last attempt ended; it decides between failed and unknown
	// when the scheduler gives the job up.
	last gang.Ended
	// begun is set with the first start, for the waiting time.
	begun bool
	// failures counts attempts that the job itself failed.
	failures int
	// limit is set when the job is being stopped for a limit of its class.
	limit *limit
	// ending is the final record while it is being written.
	ending *jobs.Stored
}

func (j *job) members() []jobs.Member {
	if j.coord == nil {
		return nil
	}
	return membersOf(j.coord.Plan())
}

func membersOf(p gang.Plan) []jobs.Member {
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

// planOf is the plan that a record names.
func planOf(r jobs.Record) gang.Plan {
	p := gang.Plan{ID: gang.ID{Job: r.ID, Epoch: r.Epoch, Number: r.Number}}
	for _, m := range r.Members {
		p.Members = append(p.Members, gang.Placed{
			Agent:        m.Agent,
			Incarnation:  m.Incarnation,
			Accelerators: m.Accelerators,
		})
	}
	return p
}

func placementOf(r jobs.Record) scheduler.Placement {
	var p scheduler.Placement
	for _, m := range r.Members {
		p = append(p, scheduler.Grant{Worker: scheduler.WorkerID(m.Agent), Accelerators: m.Accelerators})
	}
	return p
}
