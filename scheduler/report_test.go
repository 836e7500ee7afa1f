package scheduler

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The sums of the report must match the model in every state of a random run.
func TestReportMatchesModel(t *testing.T) {
	m := newModel(t, 5, 20)
	for range 400 {
		m.randomEvent()
		running, waiting := 0, 0
		for _, j := range m.jobs {
			if j.place != nil {
				running += j.Accelerators
			} else {
				waiting++
			}
		}
		r := m.s.Report()
		unplaced := 0
		for _, a := range r.Accounts {
			unplaced += a.Unplaced
			for _, c := range a.Classes {
				running -= c.RunningAccelerators
				waiting -= c.Waiting
			}
		}
		up := 0
		for _, id := range m.ids {
			if m.up[id] {
				up++
			}
		}
		if running != 0 || waiting != 0 || (unplaced > 0) != (len(m.degraded) > 0) || up != m.s.Stats().Workers+r.Quarantined.Count {
			t.Fatalf("report differs from model by %d running accelerators and %d waiting jobs; %d unplaced, degraded %v, %d workers up: %+v", running, waiting, unplaced, m.degraded, up, r)
		}
	}
}

// Every reason must have a sentence, with the numbers of the explanation.
func TestEveryReasonHasSentence(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(0, 0)
	e := Explanation{Job: "j", Reason: WaitNoPlace, Accelerators: 16, Span: AdjacentRack, Free: 20, Largest: 12, Units: []FreeUnits{{12, 1}, {4, 2}}, First: "k"}
	c.Check(e.Sentence(), qt.Equals, "it needs 16 accelerators in one rack; 20 are free, at most 12 of them in one rack (12 in 1, 4 in 2); job k is the first in the order")
	e = Explanation{Reason: WaitBehind, Ahead: 3, First: "h", FirstReason: WaitReserved}
	c.Check(e.Sentence(), qt.Equals, "3 jobs of its account, class and shape go first; the first of them, h, waits by reserved-place")
	for r := WaitNone; r <= WaitNoCores; r++ {
		e := Explanation{Reason: r, Until: at}
		c.Check(e.Sentence(), qt.Not(qt.Equals), "", qt.Commentf("%v", r))
	}
}

var largeScale = flag.Bool("scheduler.size", false, "run report benchmarks with 17,000 workers and 70,000 jobs instead of the small site")

// loadedScheduler returns a scheduler under load and the ids of its jobs: the
// small site with 500 jobs, or the large one with 70,000 if the flag is set.
func loadedScheduler(b *testing.B) (*Scheduler, []JobID) {
	site, n := tidewater(), 500
	if *largeScale {
		site, n = largeSite(), 70_000
	}
	s := New(Options{Start: time.Unix(1e9, 0)})
	evs := []Event{PolicyChanged{Policy{Generation: 1, Accounts: site.accounts}}}
	for _, w := range site.workers {
		evs = append(evs, WorkerUp{w})
	}
	s.Step(time.Unix(1e9, 0), Batch{evs})
	var ids []JobID
	var jobs []Job
	for _, w := range site.workload(40, 1) {
		if len(ids) == n {
			break
		}
		w.ID = JobID(fmt.Sprint("j", len(ids)))
		w.Submitted = time.Time{}
		if w.Accelerators <= site.largest {
			ids = append(ids, w.ID)
			jobs = append(jobs, w.Job)
		}
	}
	for i := 0; i < len(jobs); i += 100 {
		s.Step(time.Unix(1e9+int64(i/2000), 0), JobsSubmitted{jobs[i:min(i+100, len(jobs))]})
	}
	queues := 0
	for _, a := range s.accountList {
		queues += len(a.queueList)
	}
	b.Logf("%d workers, %d jobs, %d queues", len(site.workers), len(s.jobs), queues)
	b.ResetTimer()
	return s, ids
}

func BenchmarkExplain(b *testing.B) {
	s, ids := loadedScheduler(b)
	for i := 0; b.Loop(); i++ {
		s.Explain(ids[i*7919%len(ids)])
	}
}

func BenchmarkExplainer(b *testing.B) {
	s, ids := loadedScheduler(b)
	x := NewExplainer(s)
	for i := 0; b.Loop(); i++ {
		x.Explain(ids[i*7919%len(ids)])
	}
}

func BenchmarkStats(b *testing.B) {
	s, _ := loadedScheduler(b)
	for b.Loop() {
		s.Stats()
	}
}

func BenchmarkReport(b *testing.B) {
	s, _ := loadedScheduler(b)
	for b.Loop() {
		s.Report()
	}
}
