package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A job that can never run must be rejected when settling ends after a
// takeover, although no other event follows.
func TestImpossibleJobIsRejectedWhenSettlingEnds(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	s := New(Options{Start: start, SettlingPeriod: 5 * time.Second})
	wake := start
	step := func(now time.Time, ev Event) (rejected []RejectJob) {
		for _, a := range s.Step(now, ev) {
			switch a := a.(type) {
			case WakeAt:
				wake = a.At
			case RejectJob:
				rejected = append(rejected, a)
			}
		}
		return rejected
	}
	step(start, PolicyChanged{Policy: Policy{Generation: 1, Accounts: []AccountPolicy{{ID: "a"}}}})
	for _, id := range []WorkerID{"w1", "w2", "w3", "w4"} {
		step(start, WorkerUp{Worker: Worker{ID: id, Zone: "z", Rack: "r" + string(id), Accelerators: 8, Cores: 32, MemoryMB: 1024}})
	}
	job := Job{ID: "j", Account: "a", Accelerators: 32, Adjacency: AdjacentRack, Repeatable: true, Submitted: start}
	c.Assert(step(start, JobsSubmitted{Jobs: []Job{job}}), qt.HasLen, 0)
	c.Assert(wake.After(start), qt.IsTrue, qt.Commentf("no WakeAt for the end of settling"))
	rejected := step(wake, Tick{})
	c.Assert(rejected, qt.HasLen, 1)
	c.Assert(rejected[0].Reason, qt.Equals, RejectAdjacency)
}
