package planner

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// end writes the final record of a job. Until the store has it the job counts
// as live, so that nothing is told twice and a takeover finds the truth.
func (p *Planner) end(j *job, s jobs.State, reason string) {
	if j.ending != nil {
		return
	}
	final := j.stored
	final.State = s
	final.Reason = reason
	final.Ended = time.Now()
	if s == jobs.Done || s == jobs.Failed {
		final.Result = j.result()
	}
	if j.stored.IsPermit() {
		p.closePermit(j, &final)
	}
	j.ending = &final
	p.writeEnd(j, final)
}

// endCancelled ends a job that was cancelled while no attempt of it was made.
func (p *Planner) endCancelled(j *job) {
	p.end(j, jobs.Cancelled, "cancelled by the caller")
}

// result is the list of what the members returned.
func (j *job) result() json.RawMessage {
	parts := make([]json.RawMessage, 0, len(j.last.Members))
	for _, m := range j.last.Members {
		parts = append(parts, jsonOf(m.Detail))
	}
	data, err := json.Marshal(parts)
	if err != nil {
		return nil
	}
	return data
}

// writeEnd writes until the store has the record, through outages.
func (p *Planner) writeEnd(j *job, final jobs.Stored) {
	p.t.Go(func() error {
		ctx, cancel := p.context(sendTimeout)
		defer cancel()
		lease, err := p.cfg.Retention.Current(ctx)
		var got jobs.Stored
		if err == nil {
			got, err = p.cfg.Jobs.End(ctx, final, lease)
		}
		if eris.Is(err, store.ErrLeaseNotFound) {
			p.cfg.Retention.Invalidate(lease)
		}
		p.post(func() { p.endWritten(j, got, err) })
		return nil
	})
}

func (p *Planner) endWritten(j *job, got jobs.Stored, err error) {
	p.noteStore(err)
	switch {
	case err == nil:
		p.forget(j, got)
	case eris.Is(err, jobs.ErrConflict):
		p.endConflict(j, got)
	case eris.Is(err, jobs.ErrNotFound):
		p.forget(j, *j.ending)
	default:
		p.later(storeRetry, func() { p.writeEnd(j, *j.ending) })
	}
}

// endConflict meets a record that changed meanwhile: by an earlier try of this
// very write, by a cancellation, or by a successor.
func (p *Planner) endConflict(j *job, got jobs.Stored) {
	switch {
	case got.State.Ended():
		p.forget(j, got)
	case p.outranked(got):
	default:
		if p.otherStarted(got) {
			mayHaveRun(j.ending, got)
		}
		j.ending.Rev = got.Rev
		j.ending.CancelRequested = got.CancelRequested
		p.writeEnd(j, *j.ending)
	}
}

// mayHaveRun takes the claim that the job did not run out of a final record: an
// earlier planner has recorded a start or a permit meanwhile.
func mayHaveRun(final *jobs.Stored, got jobs.Stored) {
	final.Attempt = max(final.Attempt, got.Attempt)
	if final.State == jobs.Rejected {
		final.State = jobs.Failed
	}
}

// forget drops a job whose end is on record.
func (p *Planner) forget(j *job, final jobs.Stored) {
	if p.jobs[final.ID] != j {
		return
	}
	delete(p.jobs, final.ID)
	p.recent.Add(final.ID, final)
	spec := final.Spec
	p.cfg.Metrics.Observe(spec.Account, spec.Class, timingOf(final.State), final.Ended.Sub(final.Submitted))
	if j.coord != nil {
		p.detach(j)
	}
	p.post0(func() { p.withdraw(final.ID) })
}

func timingOf(s jobs.State) metrics.Timing {
	switch s {
	case jobs.Done:
		return metrics.JobDone
	case jobs.Cancelled:
		return metrics.JobCancelled
	case jobs.Rejected:
		return metrics.JobRejected
	case jobs.Unknown:
		return metrics.JobUnknown
	default:
		return metrics.JobFailed
	}
}

// later runs f on the loop's goroutine after d.
func (p *Planner) later(d time.Duration, f func()) {
	time.AfterFunc(d, func() { p.post(f) })
}
