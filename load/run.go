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

// ErrNoEntries is returned by Run if it is given no entries.
var ErrNoEntries = errors.New("load: no entries given")

const (
	maxTries = 4
	// answerGrace is how long after the request's deadline a caller waits for an answer.
	answerGrace = 10 * time.Second
	// retryDelay is the pause before a caller retries with the next entry.
	retryDelay   = 100 * time.Millisecond
	maxIdleConns = 1024
)

type runner struct {
	plan      Plan
	runID     string // prefix of tags and keys, unique to this run
	startedAt time.Time
	deadline  time.Time // end of the drain time
	entryURLs []string
	clients   []*api.Client

	wg           sync.WaitGroup
	quick        []QuickResult
	jobs         []JobResult
	maxSendDelay time.Duration

	mu       sync.Mutex
	openJobs map[*JobResult]bool // accepted jobs without a known final state
}

// Run sends the requests and jobs of the plan to the entries, given as base URLs, in rotation.
// It returns when every outcome is known or the plan's drain time is over. The error is
// ErrNoEntries, or the context's error if it ended the run early; the result then covers only
// a part of the plan.
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

// allocateResults preallocates the result slices so that appending never moves an element
// that a caller goroutine writes to.
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

// dispatch starts each arrival at its scheduled time, independently of earlier arrivals.
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

// entryAt returns the client and the base URL of an entry; n wraps around.
func (r *runner) entryAt(n int) (*api.Client, string) {
	n %= len(r.clients)
	return r.clients[n], r.entryURLs[n]
}
