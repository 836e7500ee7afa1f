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
	// patience is how long beyond its deadline a caller waits for an answer
	// before it counts as silence.
	patience = 10 * time.Second
	// betweenTries is the pause before a caller turns to the next entry.
	betweenTries = 100 * time.Millisecond
	connections  = 1024
)

type runner struct {
	plan    Plan
	run     string // makes tags and keys differ between runs
	began   time.Time
	end     time.Time // no outcome is waited for beyond it
	names   []string
	entries []*api.Client

	wg     sync.WaitGroup
	quick  []QuickResult
	jobs   []JobResult
	maxLag time.Duration

	mu   sync.Mutex
	open map[*JobResult]bool // accepted, and not seen in a final state
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
	transport := &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections}
	defer transport.CloseIdleConnections()
	r := &runner{plan: p, run: uuid.NewString()[:8], names: entries, open: map[*JobResult]bool{}}
	for _, e := range entries {
		r.entries = append(r.entries, api.NewClient(e, transport))
	}
	schedule := p.Schedule()
	r.makeRoom(schedule)
	r.began = time.Now()
	r.end = r.began.Add(time.Duration(p.Duration + p.DrainTimeout))
	ctx, cancel := context.WithDeadline(ctx, r.end)
	defer cancel()
	for i := range p.BulkCancellations {
		r.wg.Go(func() { r.cancelWave(ctx, i) })
	}
	r.dispatch(ctx, schedule)
	r.wg.Wait()
	res := Result{Plan: p.Name, Service: p.Service, StartedAt: r.began, Quick: r.quick, Jobs: r.jobs, MaxSendDelay: r.maxLag}
	if time.Now().Before(r.end) {
		return res, ctx.Err()
	}
	return res, nil
}

// makeRoom sizes the results, so that each caller writes to its own place.
func (r *runner) makeRoom(schedule []Arrival) {
	nq, nj := 0, 0
	for _, a := range schedule {
		if a.Quick != nil {
			nq++
		} else {
			nj++
		}
	}
	r.quick = make([]QuickResult, 0, nq)
	r.jobs = make([]JobResult, 0, nj)
}

// dispatch sends each arrival at its time, whatever became of the earlier ones.
func (r *runner) dispatch(ctx context.Context, schedule []Arrival) {
	for i, a := range schedule {
		at := r.began.Add(a.At)
		if !sleepUntil(ctx, at) {
			return
		}
		r.maxLag = max(r.maxLag, time.Since(at))
		if a.Quick != nil {
			r.quick = append(r.quick, QuickResult{})
			q := &r.quick[len(r.quick)-1]
			r.wg.Go(func() { r.doQuick(ctx, i, a, q) })
			continue
		}
		r.jobs = append(r.jobs, JobResult{})
		j := &r.jobs[len(r.jobs)-1]
		r.wg.Go(func() { r.doJob(ctx, i, a, j) })
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

// entry returns the n-th entry, going round.
func (r *runner) entry(n int) (*api.Client, string) {
	n %= len(r.entries)
	return r.entries[n], r.names[n]
}
