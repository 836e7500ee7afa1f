package engine

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Guards against a waiting unit whose reason can't be told from the log and the counters, and
// against a count that grows with each round. Load: a full worker, behind it an urgent task, a task
// in time and a late one of three accounts.
func TestWaitReasonIsLoggedAndCounted(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submit(0, "", taskStep(1, 8))
	d.settle()
	submit := func(priority int, account string, age time.Duration) workload.JobID {
		d.jobs++
		id := workload.JobID(account)
		d.handle(JobSubmitted{Age: age, Revision: int64(d.jobs), Job: workload.Job{
			ID: id, Queue: "q", Account: account, Service: "s", Steps: []workload.Step{taskStep(1, 8)},
			QueuePolicy: workload.QueuePolicy{Priority: priority, MaxAttempts: 3, Stretch: 30, TargetLatency: time.Second},
		}})
		return id
	}
	submit(0, "urgent", 0)
	submit(0, "late", 150*time.Second)
	submit(1, "patient", 0)
	counts := map[UnitsWait]int{}
	logged := map[workload.JobID]string{}
	for range 70 {
		for _, a := range d.e.Decide(d.now) {
			switch a := a.(type) {
			case UnitsWait:
				counts[UnitsWait{Account: a.Account, Reason: a.Reason}] += a.Units
			case Decision:
				if a.Kind == "waits" {
					logged[a.Job] = a.Detail
				}
			}
		}
		d.now += 100 * time.Millisecond
		d.reportProgress("w0")
		d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
	}
	c.Check(counts, qt.DeepEquals, map[UnitsWait]int{
		{Account: "urgent", Reason: WaitForRoom}:         1,
		{Account: "late", Reason: WaitLateYields}:        1,
		{Account: "patient", Reason: WaitBehindPriority}: 1,
	})
	c.Check(strings.Contains(logged["urgent"], ", no room;"), qt.IsTrue, qt.Commentf("%q", logged["urgent"]))
	c.Check(strings.Contains(logged["late"], ", late, yields;"), qt.IsTrue, qt.Commentf("%q", logged["late"]))
	c.Check(strings.Contains(logged["patient"], ", behind priority;"), qt.IsTrue, qt.Commentf("%q", logged["patient"]))
}
