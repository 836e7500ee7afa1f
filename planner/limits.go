package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// Reasons of a job that met a limit of its class.
const (
	reasonDeadline = "the class's deadline passed"
	reasonMaxRun   = "it ran longer than the class's max_run"
	reasonRetries  = "it failed more often than the class's retries allow"
	reasonQueue    = "the service has as many jobs waiting as admission.max_jobs allows"
)

// enforceLimits ends jobs that have met a limit of their class: of the whole time from
// acceptance, or of one run.
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

// exceededLimit is why a job is being stopped, and how it ends.
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

// stopAtLimit withdraws the job from the scheduler, which stops what runs; the
// job then ends as the limit says and not as cancelled.
func (p *Planner) stopAtLimit(j *job, l *exceededLimit) {
	j.exceeded = l
	if j.withheld {
		p.endJob(j, l.state, l.reason)
		return
	}
	p.withdrawJob(j.stored.ID)
}

// retriesExhausted counts a failure of the job itself. A worker that went away is
// not one.
func (p *Planner) retriesExhausted(j *job, e gang.Ended) bool {
	if e.Outcome != gang.Failed {
		return false
	}
	j.failures++
	class, ok := p.doc.Document.Class(j.stored.Spec.Class)
	return ok && j.failures > class.Retries
}

// rejectSurplus splits what has arrived into what may wait and what finds the service's
// queue full.
func (p *Planner) rejectSurplus(newJobs []scheduler.Job) []scheduler.Job {
	free := p.doc.Document.Admission.MaxJobs - (p.queuedCount() - len(newJobs))
	if len(newJobs) <= free {
		return newJobs
	}
	free = max(free, 0)
	for _, f := range newJobs[free:] {
		p.endJob(p.jobs[string(f.ID)], jobs.Rejected, reasonQueue)
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
