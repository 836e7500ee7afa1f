package planner

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
)

// recordStart writes the start of an attempt over the version of the record
// that the attempt is based on. It must not write over a later version that
// the watch delivered meanwhile: that may be a cancellation, whose caller was
// told that the job did not run, or the start of another planner.
func (p *Planner) recordStart(j *job, plan gang.Plan) {
	if j.stored.Rev != j.baseRevision {
		result := gang.RecordConflict
		if recordNamesAttempt(j.stored.Record, plan.ID) {
			result = gang.RecordWritten // an earlier try of this write, delivered by the watch
		}
		p.postFromLoop(func() { p.notifyRecorded(j, plan.ID, result) })
		return
	}
	if p.permitUsable(j) {
		p.startOnPermit(j, plan)
		return
	}
	next := j.stored
	next.State = jobs.Starting
	next.Attempt = uint64(j.attempt)
	next.Epoch = plan.ID.Epoch
	next.Number = plan.ID.Number
	next.Members = recordMembers(plan)
	next.Started = time.Now()
	next.Failures = j.failures
	p.tomb.Go(func() error {
		ctx, cancel := p.context(requestTimeout)
		defer cancel()
		got, err := p.cfg.Jobs.Update(ctx, next)
		p.post(func() { p.handleStartWritten(j, plan.ID, got, err) })
		return nil
	})
}

func (p *Planner) handleStartWritten(j *job, id gang.ID, got jobs.Stored, err error) {
	p.handleStoreError(err)
	if j.coord == nil || j.coord.Plan().ID != id {
		return
	}
	result := gang.RecordUnknown
	switch {
	case err == nil:
		result = gang.RecordWritten
		j.stored = got
	case eris.Is(err, jobs.ErrConflict) && recordNamesAttempt(got.Record, id):
		// An earlier try of this write took effect although its reply was
		// lost.
		result = gang.RecordWritten
		j.stored = got
	case eris.Is(err, jobs.ErrConflict) && p.isOwnPermit(got.Record) && !got.CancelRequested:
		// The write of this permit had an unknown outcome. Try again on the
		// permit.
		p.applyOwnWrite(j, got, j.baseRevision)
		p.recordStart(j, j.coord.Plan())
		return
	case eris.Is(err, jobs.ErrConflict), eris.Is(err, jobs.ErrNotFound):
		result = gang.RecordConflict
		p.handleRecordConflict(j, got, err)
	}
	p.stepCoordinator(j, gang.Recorded{Result: result})
}

// notifyRecorded passes the result of recording a start without a write to
// the attempt's coordinator.
func (p *Planner) notifyRecorded(j *job, id gang.ID, r gang.RecordResult) {
	if j.coord != nil && j.coord.Plan().ID == id {
		p.stepCoordinator(j, gang.Recorded{Result: r})
	}
}

func recordNamesAttempt(r jobs.Record, id gang.ID) bool {
	return r.Epoch == id.Epoch && r.Number == id.Number && r.State == jobs.Starting
}

// handleRecordConflict takes over a record that was changed by another
// process: by the cancellation of the job or by another planner.
func (p *Planner) handleRecordConflict(j *job, got jobs.Stored, err error) {
	if eris.Is(err, jobs.ErrNotFound) {
		return
	}
	p.handleRecordChange(got)
}
