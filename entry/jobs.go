package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/planner"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	// cancelConcurrency is how many cancellations of a bulk request run at once; their
	// writes share calls to the store.
	cancelConcurrency = 256
	// listThreshold is the number of ids from which a bulk request reads all records of
	// the service in one call instead of one record per id.
	listThreshold = 16
)

// cancelAll cancels jobs of one service. When it returns a Problem, some jobs may have
// been cancelled; the whole call may be repeated.
func (e *Entry) cancelAll(ctx context.Context, service string, ids []string) (api.CancelResponse, *api.Problem) {
	cancelOne, err := e.cancelFunc(ctx, service, len(ids))
	if err != nil {
		return api.CancelResponse{}, cancelProblem(err)
	}
	var mu sync.Mutex
	var resp api.CancelResponse
	unknownOutcomes := 0
	var group errgroup.Group
	group.SetLimit(cancelConcurrency)
	for _, id := range ids {
		group.Go(func() error {
			err := cancelOne(id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				resp.AcceptedIDs = append(resp.AcceptedIDs, id)
			case eris.Is(err, jobs.ErrNotFound):
				resp.UnknownIDs = append(resp.UnknownIDs, id)
			case eris.Is(err, jobs.ErrOutcomeUnknown):
				unknownOutcomes++
				return err
			default:
				return err
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return resp, bulkCancelProblem(err, len(resp.AcceptedIDs), unknownOutcomes)
	}
	return resp, nil
}

// bulkCancelProblem is cancelProblem for a bulk request. When some jobs are or may be
// cancelled, it must not claim that nothing was changed.
func bulkCancelProblem(err error, cancelled, unknownOutcomes int) *api.Problem {
	p := cancelProblem(err)
	if cancelled+unknownOutcomes > 0 {
		p.Reason = api.ReasonCancellationLost
		p.Detail = strconv.Itoa(cancelled) + " of the jobs are cancelled, " + strconv.Itoa(unknownOutcomes) + " may be: " + p.Detail
	}
	return p
}

// cancelFunc returns the function that cancels one of n jobs.
func (e *Entry) cancelFunc(ctx context.Context, service string, n int) (func(id string) error, error) {
	if n < listThreshold {
		return func(id string) error {
			_, err := e.jobs.Cancel(ctx, service, id, time.Now())
			return err
		}, nil
	}
	records, err := e.jobs.List(ctx, service)
	if err != nil {
		return nil, err
	}
	return func(id string) error {
		record, ok := records[id]
		if !ok {
			return jobs.ErrNotFound
		}
		_, err := e.jobs.CancelRecord(ctx, record, time.Now())
		return err
	}, nil
}

// lookUpStatus asks this entry's planner for a job's status, then the entry that leads
// the service, and finally the store.
func (e *Entry) lookUpStatus(ctx context.Context, service, id string) (api.JobStatus, *api.Problem) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if s, ok := e.elections.jobStatus(ctx, service, id); ok {
		return s, nil
	}
	if s, ok := e.askPlannerEntry(ctx, service, id); ok {
		return s, nil
	}
	rec, err := e.jobs.Get(ctx, service, id)
	switch {
	case err == nil:
		return recordStatus(rec.Record), nil
	case eris.Is(err, jobs.ErrNotFound):
		return api.JobStatus{}, api.NewProblem(api.ReasonUnknownJob, "no record of the job")
	default:
		return api.JobStatus{}, api.NewRetryableProblem(api.ReasonJobStateUnavailable, "neither the planner nor the platform's store can be asked: "+err.Error(), defaultRetryAfter)
	}
}

// askPlannerEntry asks the entry that leads the service. If that entry is frozen or its
// instance is dead, the call ends once its connection is suspected or after dialTimeout,
// which leaves time to read the record from the store.
func (e *Entry) askPlannerEntry(ctx context.Context, service, id string) (api.JobStatus, bool) {
	addr, ok := e.elections.plannerAddr(service)
	if !ok {
		return api.JobStatus{}, false
	}
	got, err := e.agents.callEntry(ctx, addr, &wire.JobStatusRequest{Service: service, IDs: []string{id}})
	reply, isReply := got.(*wire.JobStatusReply)
	if err != nil || !isReply || len(reply.States) != 1 {
		return api.JobStatus{}, false
	}
	var s api.JobStatus
	if json.Unmarshal(reply.States[0].Status, &s) != nil {
		return api.JobStatus{}, false
	}
	return s, true
}

// answerStatus answers askPlannerEntry of another entry.
func (e *Entry) answerStatus(ctx context.Context, m *wire.JobStatusRequest) *wire.JobStatusReply {
	reply := &wire.JobStatusReply{Entry: e.cfg.ID}
	for _, id := range m.IDs {
		s, ok := e.elections.jobStatus(ctx, m.Service, id)
		if !ok {
			continue
		}
		data, err := json.Marshal(s)
		if err != nil {
			continue
		}
		reply.States = append(reply.States, wire.JobState{ID: id, Status: data})
	}
	return reply
}

// recordStatus returns a record as callers see it.
func recordStatus(r jobs.Record) api.JobStatus {
	return api.JobStatus{
		ID:        r.ID,
		State:     api.JobState(r.State),
		Attempt:   int(r.Attempt),
		Reason:    recordReason(r),
		Detail:    r.Reason,
		Result:    r.Result,
		Placement: apiPlacement(r.Placement()),
		Submitted: r.Submitted,
		Started:   r.Started,
		Ended:     r.Ended,
	}
}

func recordReason(r jobs.Record) api.Reason {
	switch r.State {
	case jobs.Rejected:
		return api.ReasonImpossible
	case jobs.Unknown:
		return api.ReasonOutcomeLost
	case jobs.Cancelled:
		if r.Attempt == 0 {
			return api.ReasonCancelledBeforeStart
		}
	}
	return ""
}

func apiPlacement(members []jobs.Member) []api.Placement {
	var out []api.Placement
	for _, m := range members {
		out = append(out, api.Placement{Agent: m.Agent, Accelerators: m.Accelerators})
	}
	return out
}

// plannerStatus returns a job as its planner sees it.
func plannerStatus(s planner.Status) api.JobStatus {
	out := recordStatus(s.Record)
	if s.Phase == "" {
		return out
	}
	out.State = api.JobState(s.Phase)
	out.Placement = apiPlacement(s.Members)
	return out
}
