package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSmoke(t *testing.T) {
	c := qt.New(t)
	t0 := time.Unix(1000, 0)
	s := New(Options{Start: t0})
	var evs []Event
	evs = append(evs, PolicyChanged{Policy{Generation: 1, Accounts: []AccountPolicy{{ID: "a", Guaranteed: []Shape{{8, AdjacentWorker, 1}}}, {ID: "b"}}}})
	for _, w := range []WorkerID{"w1", "w2"} {
		evs = append(evs, WorkerUp{Worker{w, "z", "r", 8, 32, 64000}})
	}
	s.Step(t0, Batch{evs})
	c.Assert(s.Check(), qt.IsNil)
	var jobs []Job
	for i := range 16 {
		jobs = append(jobs, Job{ID: JobID(rune('a' + i)), Account: "b", Accelerators: 1, Repeatable: true})
	}
	t.Log(s.Step(t0, JobsSubmitted{jobs}))
	c.Assert(s.Check(), qt.IsNil)
	t.Log(s.Step(t0, JobsSubmitted{[]Job{{ID: "gang", Account: "a", Accelerators: 8, Adjacency: AdjacentWorker}}}))
	c.Assert(s.Check(), qt.IsNil)
	t.Logf("%+v", s.Stats())
}
