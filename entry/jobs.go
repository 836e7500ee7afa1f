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
	// cancelWidth is how many cancellations of a wave are under way at once;
	// their writes share calls to the store.
	cancelWidth = 256
	// listAbove is from how many ids on a wave reads all records of the service
	// in one call, instead of one call for each id.
	listAbove = 16
)

// cancelAll cancels jobs of one service. On a Problem some may have been
// cancelled; the whole call may be repeated.
func (e *Entry) cancelAll(ctx context.Context, service string, ids []string) (api.CancelResponse, *api.Problem) {
	cancel, err := e.canceller(ctx, service, len(ids))
	if err != nil {
		return api.CancelResponse{}, cancelProblem(err)
	}
	var mu sync.Mutex
	var resp api.CancelResponse
	inDoubt := 0
	var group errgroup.Group
	group.SetLimit(cancelWidth)
	for _, id := range ids {
		group.Go(func() error {
			err := cancel(id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				resp.Accepted = append(resp.Accepted, id)
			case eris.Is(err, jobs.ErrNotFound):
				resp.Unknown = append(resp.Unknown, id)
			case eris.Is(err, jobs.ErrOutcomeUnknown):
				inDoubt++
				return err
			default:
				return err
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return resp, waveProblem(err, len(resp.Accepted), inDoubt)
	}
	return resp, nil
}

// waveProblem is cancelProblem for a wave of which some were cancelled or may have
// been: of the whole it can't be said that nothing happened.
func waveProblem(err error, cancelled, inDoubt int) *api.Problem {
	p := cancelProblem(err)
	if cancelled+inDoubt > 0 {
		p.Reason = api.ReasonCancelLost
		p.Detail = strconv.Itoa(cancelled) + " of the jobs are cancelled, " + strconv.Itoa(inDoubt) + " may be: " + p.Detail
	}
	return p
}

// canceller returns how to cancel each of n jobs.
func (e *Entry) canceller(ctx context.Context, service string, n int) (func(id string) error, error) {
	if n < listAbove {
		return func(id string) error {
			_, err := e.jobs.Cancel(ctx, service, id, time.Now())
			return err
		}, nil
	}
	all, err := e.jobs.List(ctx, service)
	if err != nil {
		return nil, err
	}
	return func(id string) error {
		cur, ok := all[id]
		if !ok {
			return jobs.ErrNotFound
		}
		_, err := e.jobs.CancelRecord(ctx, cur, time.Now())
		return err
	}, nil
}

// lookUp asks who knows a job best: this entry's planner, the planner's entry,
// or else the store.
func (e *Entry) lookUp(ctx context.Context, service, id string) (api.JobStatus, *api.Problem) {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	if s, ok := e.duties.status(ctx, service, id); ok {
		return s, nil
	}
	if s, ok := e.askPlanner(ctx, service, id); ok {
		return s, nil
	}
	rec, err := e.jobs.Get(ctx, service, id)
	switch {
	case err == nil:
		return statusOf(rec.Record), nil
	case eris.Is(err, jobs.ErrNotFound):
		return api.JobStatus{}, api.NewProblem(api.ReasonUnknownJob, "no record of the job")
	default:
		return api.JobStatus{}, api.Busy(api.ReasonJobUnavailable, "neither the planner nor the platform's store can be asked: "+err.Error(), comeBack)
	}
}

// askPlanner asks the entry that holds the planner duty.
//
// The failure this guards against: that entry is frozen or its instance is dead, and
// nothing on the way says so. It shows as callers that hear "neither can be asked"
// although the store holds the record, because the question to the planner lasts for
// as long as they wait. It ends once the connection is suspected, or no new one is
// had within dialWait, and leaves time for the store.
func (e *Entry) askPlanner(ctx context.Context, service, id string) (api.JobStatus, bool) {
	addr, ok := e.duties.plannerAddr(service)
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

// answerStatus serves askPlanner of another entry.
func (e *Entry) answerStatus(ctx context.Context, m *wire.JobStatusRequest) *wire.JobStatusReply {
	reply := &wire.JobStatusReply{Entry: e.cfg.ID}
	for _, id := range m.IDs {
		s, ok := e.duties.status(ctx, m.Service, id)
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

// statusOf is a record as callers see it.
func statusOf(r jobs.Record) api.JobStatus {
	return api.JobStatus{
		ID:        r.ID,
		State:     api.JobState(r.State),
		Attempt:   int(r.Attempt),
		Reason:    reasonOf(r),
		Detail:    r.Reason,
		Result:    r.Result,
		Placement: placementOf(r.Placement()),
		Submitted: r.Submitted,
		Started:   r.Started,
		Ended:     r.Ended,
	}
}

func reasonOf(r jobs.Record) api.Reason {
	switch r.State {
	case jobs.Rejected:
		return api.ReasonImpossible
	case jobs.Unknown:
		return api.ReasonOutcomeLost
	case jobs.Cancelled:
		if r.Attempt == 0 {
			return api.ReasonCancelled
		}
	}
	return ""
}

func placementOf(members []jobs.Member) []api.Placement {
	var out []api.Placement
	for _, m := range members {
		out = append(out, api.Placement{Agent: m.Agent, Accelerators: m.Accelerators})
	}
	return out
}

// liveStatus is a job as its planner sees it.
func liveStatus(s planner.Status) api.JobStatus {
	out := statusOf(s.Record)
	if s.Phase == "" {
		return out
	}
	out.State = api.JobState(s.Phase)
	out.Placement = placementOf(s.Members)
	return out
}
