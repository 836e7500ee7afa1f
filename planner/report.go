package planner

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// reportEvery is for how long a report is given to all who ask. Putting one
// together takes the planner's goroutine milliseconds at the largest size.
const reportEvery = time.Second

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

// reports is what a planner keeps of the reports it was asked for.
type reports struct {
	mu   sync.Mutex // held while a report is made; the others then find it
	last Report
	at   time.Time // when last was taken, by clock.Now

	explainer *scheduler.Explainer // the loop's goroutine owns it
}

// Report returns a report that is at most a second old. False: the context or the
// term ended first. It is safe for concurrent use; however many ask, the planner's
// goroutine is interrupted once a second.
func (p *Planner) Report(ctx context.Context) (Report, bool) {
	r := &p.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.at.IsZero() && clock.Now().Sub(r.at) < reportEvery {
		return r.last, true
	}
	got, ok := ask(ctx, p, p.takeReport)
	if !ok {
		return Report{}, false
	}
	got.Stats = p.Stats()
	got.WaitTimes = waited(p.cfg.Metrics.Snapshot())
	r.last, r.at = got, clock.Now()
	return got, true
}

func (p *Planner) takeReport() Report {
	return Report{
		Report:           p.sched.Report(),
		Generation:       p.doc.Version.Generation,
		RecordsLoaded:    p.rebuilt,
		StoreUnavailable: p.storeOut,
		Withheld:         p.withheld(),
		TakenAt:          time.Now(),
	}
}

func waited(s metrics.Snapshot) map[string]map[string]metrics.Summary {
	name := metrics.JobWaited.Describe().Name
	out := make(map[string]map[string]metrics.Summary, len(s.Timings))
	for account, classes := range s.Timings {
		out[account] = make(map[string]metrics.Summary, len(classes))
		for class, timings := range classes {
			out[account][class] = timings[name]
		}
	}
	return out
}

func (p *Planner) withheld() map[string]map[string]int {
	out := make(map[string]map[string]int)
	for _, j := range p.jobs {
		if !j.withheld || !j.waits() {
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
