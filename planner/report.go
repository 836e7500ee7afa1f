package planner

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// maxReportAge is for how long a report is given to all who ask. Putting one
// together takes the planner's goroutine milliseconds at the largest size.
const maxReportAge = time.Second

// Report is what a planner knows of its domain.
type Report struct {
	scheduler.Report
	// Stats is as of the last housekeeping, up to a quarter of a second older.
	Stats scheduler.Stats
	// WaitTimes is the waits of jobs by client account and class, since the start of
	// the process.
	WaitTimes map[string]map[string]metrics.Summary
	// Withheld counts, by client account and class, the jobs that the scheduler does
	// not know for now: see StageStoreOut and StageHeld.
	Withheld map[string]map[string]int
	// StoreUnavailable says that the store did not take a write of this planner and has not
	// answered since.
	StoreUnavailable bool
	// Generation is of the document in force.
	Generation uint64
	// RecordsLoaded says that all job records have been read.
	RecordsLoaded bool
	// TakenAt is when the report was put together.
	TakenAt time.Time
}

// reportCache is what a planner keeps of the reportCache it was asked for.
type reportCache struct {
	mu      sync.Mutex // held while a report is made; the others then find it
	last    Report
	takenAt time.Time // when last was taken, by clock.Now

	explainer *scheduler.Explainer // the loop's goroutine owns it
}

// Report returns a report that is at most a second old. False: the context or the
// term ended first. It is safe for concurrent use; however many ask, the planner's
// goroutine is interrupted once a second.
func (p *Planner) Report(ctx context.Context) (Report, bool) {
	r := &p.reportCache
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.takenAt.IsZero() && clock.Now().Sub(r.takenAt) < maxReportAge {
		return r.last, true
	}
	got, ok := callOnLoop(ctx, p, p.buildReport)
	if !ok {
		return Report{}, false
	}
	got.Stats = p.Stats()
	got.WaitTimes = waitTimes(p.cfg.Metrics.Snapshot())
	r.last, r.takenAt = got, clock.Now()
	return got, true
}

func (p *Planner) buildReport() Report {
	return Report{
		Report:           p.sched.Report(),
		Generation:       p.doc.Version.Generation,
		RecordsLoaded:    p.recordsLoaded,
		StoreUnavailable: p.storeUnavailable,
		Withheld:         p.withheldCounts(),
		TakenAt:          time.Now(),
	}
}

func waitTimes(s metrics.Snapshot) map[string]map[string]metrics.Summary {
	metric := metrics.JobWaited.Describe().Name
	out := make(map[string]map[string]metrics.Summary, len(s.Timings))
	for account, classes := range s.Timings {
		out[account] = make(map[string]metrics.Summary, len(classes))
		for class, timings := range classes {
			out[account][class] = timings[metric]
		}
	}
	return out
}

func (p *Planner) withheldCounts() map[string]map[string]int {
	out := make(map[string]map[string]int)
	for _, j := range p.jobs {
		if !j.withheld || !j.isWaiting() {
			continue
		}
		spec := &j.stored.Spec
		if out[spec.Account] == nil {
			out[spec.Account] = make(map[string]int)
		}
		out[spec.Account][spec.Class]++
	}
	return out
}
