package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// Reasons in the records of jobs that exceeded a limit.
const (
	reasonDeadline = "the class's deadline passed"
	reasonMaxRun   = "it ran longer than the class's max_run"
	reasonRetries  = "it failed more often than the class's retries allow"
	reasonQueue    = "the service has as many jobs waiting as admission.max_jobs allows"
)

// enforceLimits ends jobs that have exceeded a limit of their class on the
// time since their acceptance or on the time of one run.
func (p *Planner) enforceLimits(now time.Time) {
	for _, j := range p.jobs {
		class, ok := p.doc.Document.Class(j.stored.Spec.Class)
		if !ok || j.finalRecord != nil || j.exceeded != nil {
			continue
		}
		if l := limitExceededBy(j, class, now); l != nil {
			p.stopAtLimit(j, l)
		}
	}
}

// exceededLimit is the final state and reason of a job that exceeded a limit.
type exceededLimit struct {
	state  jobs.State
	reason string
}

func limitExceededBy(j *job, class *document.Class, now time.Time) *exceededLimit {
	switch {
	case now.Sub(j.stored.Submitted) > class.Deadline.Duration && j.phase == Queued && !j.mayHaveRun():
		return &exceededLimit{jobs.Rejected, reasonDeadline}
	case now.Sub(j.stored.Submitted) > class.Deadline.Duration:
		return &exceededLimit{jobs.Failed, reasonDeadline}
	case j.phase == Running && now.Sub(j.stored.Started) > class.MaxRun.Duration:
		return &exceededLimit{jobs.Failed, reasonMaxRun}
	}
	return nil
}

// stopAtLimit withdraws the job from the scheduler, which stops its attempt.
// The job then ends as the limit says and not as cancelled.
func (p *Planner) stopAtLimit(j *job, l *exceededLimit) {
	j.exceeded = l
	if j.withheld {
		p.endJob(j, l.state, l.reason)
		return
	}
	p.withdrawJob(j.stored.ID)
}

// retriesExhausted counts the failure if the job itself failed, and reports
// whether the job has failed more often than its class allows. The loss of a
// worker does not count.
func (p *Planner) retriesExhausted(j *job, e gang.Ended) bool {
	if e.Outcome != gang.Failed {
		return false
	}
	j.failures++
	class, ok := p.doc.Document.Class(j.stored.Spec.Class)
	return ok && j.failures > class.Retries
}

// rejectSurplus rejects those of the new jobs that exceed the limit of the
// service's queue, and returns the others.
func (p *Planner) rejectSurplus(newJobs []scheduler.Job) []scheduler.Job {
	free := p.doc.Document.Admission.MaxJobs - (p.queuedCount() - len(newJobs))
	if len(newJobs) <= free {
		return newJobs
	}
	free = max(free, 0)
	for _, j := range newJobs[free:] {
		p.endJob(p.jobs[string(j.ID)], jobs.Rejected, reasonQueue)
	}
	return newJobs[:free]
}

func (p *Planner) queuedCount() int {
	n := 0
	for _, j := range p.jobs {
		if j.phase == Queued && j.finalRecord == nil {
			n++
		}
	}
	return n
}
