package load

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// ErrNoEntries: Run was given no entry.
var ErrNoEntries = errors.New("load: no entry given")

const (
	maxTries = 4
	// answerGrace is how long beyond its deadline a caller waits for an answer
	// before it counts as silence.
	answerGrace = 10 * time.Second
	// retryDelay is the pause before a caller turns to the next entry.
	retryDelay   = 100 * time.Millisecond
	maxIdleConns = 1024
)

type runner struct {
	plan      Plan
	runID     string // makes tags and keys differ between runs
	startedAt time.Time
	deadline  time.Time // no outcome is waited for beyond it
	entryURLs []string
	clients   []*api.Client

	wg           sync.WaitGroup
	quick        []QuickResult
	jobs         []JobResult
	maxSendDelay time.Duration

	mu       sync.Mutex
	openJobs map[*JobResult]bool // accepted, and not seen in a final state
}

// Run makes the load of the plan against the entries, given as base URLs, and
// returns when every outcome is known or the plan's drain time is over.
// Requests go round the entries, as a balancer does. The error is ErrNoEntry,
// or the context's when it ended the run early; the result is then that of a
// part of the plan.
func Run(ctx context.Context, p Plan, entries []string) (Result, error) {
	if len(entries) == 0 {
		return Result{}, ErrNoEntries
	}
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}
	defer transport.CloseIdleConnections()
	r := &runner{plan: p, runID: uuid.NewString()[:8], entryURLs: entries, openJobs: map[*JobResult]bool{}}
	for _, e := range entries {
		r.clients = append(r.clients, api.NewClient(e, transport))
	}
	schedule := p.Schedule()
	r.allocateResults(schedule)
	r.startedAt = time.Now()
	r.deadline = r.startedAt.Add(time.Duration(p.Duration + p.DrainTimeout))
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	for i := range p.BulkCancellations {
		r.wg.Go(func() { r.cancelJobs(ctx, i) })
	}
	r.dispatch(ctx, schedule)
	r.wg.Wait()
	res := Result{Plan: p.Name, Service: p.Service, StartedAt: r.startedAt, Quick: r.quick, Jobs: r.jobs, MaxSendDelay: r.maxSendDelay}
	if time.Now().Before(r.deadline) {
		return res, ctx.Err()
	}
	return res, nil
}

// allocateResults sizes the results, so that each caller writes to its own place.
func (r *runner) allocateResults(schedule []Arrival) {
	quickCount, jobCount := 0, 0
	for _, a := range schedule {
		if a.Quick != nil {
			quickCount++
		} else {
			jobCount++
		}
	}
	r.quick = make([]QuickResult, 0, quickCount)
	r.jobs = make([]JobResult, 0, jobCount)
}

// dispatch sends each arrival at its time, whatever became of the earlier ones.
func (r *runner) dispatch(ctx context.Context, schedule []Arrival) {
	for i, a := range schedule {
		at := r.startedAt.Add(a.At)
		if !sleepUntil(ctx, at) {
			return
		}
		r.maxSendDelay = max(r.maxSendDelay, time.Since(at))
		if a.Quick != nil {
			r.quick = append(r.quick, QuickResult{})
			q := &r.quick[len(r.quick)-1]
			r.wg.Go(func() { r.runQuick(ctx, i, a, q) })
			continue
		}
		r.jobs = append(r.jobs, JobResult{})
		j := &r.jobs[len(r.jobs)-1]
		r.wg.Go(func() { r.runJob(ctx, i, a, j) })
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// entryAt returns the n-th entryAt, going round.
func (r *runner) entryAt(n int) (*api.Client, string) {
	n %= len(r.clients)
	return r.clients[n], r.entryURLs[n]
}
