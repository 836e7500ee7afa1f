package planner

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// maxReportAge is how long a report is reused. Building one blocks the
// planner's goroutine for milliseconds in the largest domains.
const maxReportAge = time.Second

// Report is a planner's view of its domain.
type Report struct {
	scheduler.Report
	// Stats is as of the last housekeeping, which may be housekeepingInterval
	// earlier.
	Stats scheduler.Stats
	// WaitTimes summarizes how long jobs waited, by client account and class,
	// since the start of the process.
	WaitTimes map[string]map[string]metrics.Summary
	// Withheld counts, by client account and class, the waiting jobs that are
	// kept out of the scheduler; see StageStoreUnavailable and
	// StageUnresolvedPermit.
	Withheld map[string]map[string]int
	// StoreUnavailable is set if the store did not answer a write of this
	// planner and has not answered since.
	StoreUnavailable bool
	// Generation is the generation of the active document.
	Generation uint64
	// RecordsLoaded is set once all job records have been read.
	RecordsLoaded bool
	// TakenAt is when the report was built.
	TakenAt time.Time
}

// reportCache holds the last report and what is needed to build explanations.
type reportCache struct {
	mu      sync.Mutex // held while a report is built, so that concurrent callers share one
	last    Report
	takenAt time.Time // when last was built, by clock.Now

	explainer *scheduler.Explainer // the loop's goroutine owns it
}

// Report returns a report that is at most maxReportAge old, or false if the
// context or the term ended first. It is safe for concurrent use. However many
// callers there are, the planner's goroutine builds at most one report per
// maxReportAge.
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
	metric := metrics.JobWaitTime.Describe().Name
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
