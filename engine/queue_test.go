package engine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// referenceLatestStart is the latest start as it is without Policy.LateOrder.
func referenceLatestStart(e *Engine, now time.Duration, u *unit) time.Duration {
	if u.spec().LongRunning {
		return u.waitingSince
	}
	if !e.params.Policy.DeadlineOrder {
		return u.job.acceptedAt
	}
	work := e.criticalPathFrom(u)
	if objective := e.objective(u.job); now+work <= objective {
		return objective - work
	}
	return never
}

// referenceQueue returns the queue in the order that applies without late units or without
// Policy.LateOrder, and whether a unit is late.
func referenceQueue(e *Engine, now time.Duration, protected map[*job]bool) (units []*unit, late bool) {
	for _, j := range e.orderedJobs {
		for _, u := range j.units {
			if u.state == unitWaiting && now >= u.notBefore {
				units = append(units, u)
				late = late || referenceLatestStart(e, now, u) == never
			}
		}
	}
	slices.SortFunc(units, func(a, b *unit) int {
		if protected[a.job] != protected[b.job] {
			if protected[a.job] {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.job.spec.QueuePolicy.Priority, b.job.spec.QueuePolicy.Priority),
			cmp.Compare(referenceLatestStart(e, now, a), referenceLatestStart(e, now, b)),
			cmp.Compare(a.job.revision, b.job.revision),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.index, b.index),
		)
	})
	return units, late
}

// submitRandomJobs submits jobs of random shapes, priorities, accounts and ages.
func submitRandomJobs(e *Engine, random *rand.Rand, now, maxAge time.Duration) {
	for n := range 60 {
		var steps []workload.Step
		for i := range 1 + random.IntN(3) {
			s := taskStep(1+random.IntN(3), random.IntN(4))
			s.Gang = random.IntN(2) == 0
			s.Estimate = time.Duration(1+random.IntN(6)) * time.Second
			s.LongRunning = random.IntN(10) == 0
			if i > 0 && random.IntN(2) == 0 {
				s.DependsOn = []int{i - 1}
			}
			steps = append(steps, s)
		}
		age := time.Duration(random.IntN(4)) * maxAge / 4
		e.Step(now, JobSubmitted{Age: age, Revision: int64(random.IntN(30)), Job: workload.Job{
			ID: workload.JobID(fmt.Sprint("job", n)), Queue: fmt.Sprint("q", n%4), Service: fmt.Sprint("s", random.IntN(2)),
			Account: []string{"", "big", "other"}[random.IntN(3)], Steps: steps,
			QueuePolicy: workload.QueuePolicy{Priority: random.IntN(3), Stretch: float64(random.IntN(4)), TargetLatency: 30 * time.Second},
		}})
	}
}

// Guards against a change of the order while no unit is late, and against one with late units while
// the rules are switched off. Load: 60 jobs of random shapes, priorities, accounts and ages, 300
// seeds.
func TestOrderIsUnchangedWithoutLateUnits(t *testing.T) {
	c := qt.New(t)
	inTime := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 9))
		d := newDriver(t, 0)
		d.e.params.Policy.LateOrder = seed%3 != 0
		maxAge := 30 * time.Second
		if !d.e.params.Policy.LateOrder {
			maxAge = 5 * time.Minute
		}
		submitRandomJobs(d.e, random, d.now, maxAge)
		protected := d.e.protected()
		want, late := referenceQueue(d.e, d.now, protected)
		if late && d.e.params.Policy.LateOrder {
			continue
		}
		inTime++
		c.Assert(slices.Equal(d.e.queue(d.now, protected), want), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
	c.Assert(inTime > 250, qt.IsTrue, qt.Commentf("only %d seeds had no late unit", inTime))
}

// Guards against lateness that overrides a guarantee or a priority. Load: one job of each kind, at
// ages from in time to useless.
func TestGuaranteeAndPriorityPrecedeLateness(t *testing.T) {
	c := qt.New(t)
	// The objective of each job is 13 s and its path 4 s, so that it is late from 9 s and useless
	// from 35 s on.
	const inTime, late, lastChance, useless = 0, 12 * time.Second, 34 * time.Second, time.Minute
	d := newDriver(t, 0)
	ids := map[workload.JobID]string{}
	submit := func(name string, priority int, account string, age time.Duration) {
		d.jobs++
		id := workload.JobID(fmt.Sprint("job", d.jobs))
		ids[id] = name
		d.handle(JobSubmitted{Age: age, Revision: int64(d.jobs), Job: workload.Job{
			ID: id, Queue: "q", Account: account, Service: "s", Steps: []workload.Step{gangStep(4, 2)},
			QueuePolicy: workload.QueuePolicy{Priority: priority, Stretch: 3, TargetLatency: time.Second},
		}})
	}
	submit("useless, priority 0", 0, "", useless)
	submit("late, priority 1", 1, "", late)
	submit("last chance, priority 1", 1, "", lastChance)
	submit("in time, priority 1", 1, "", inTime)
	submit("late, priority 0", 0, "", late)
	submit("in time, priority 0", 0, "", inTime)
	submit("late, guaranteed", 0, "big", late)
	submit("useless, guaranteed", 0, "big", useless)
	var order, reasons []string
	for _, u := range d.e.queue(d.now, d.e.protected()) {
		order = append(order, ids[u.job.spec.ID])
		reasons = append(reasons, u.waitReason.String())
	}
	c.Check(order, qt.DeepEquals, []string{
		"late, guaranteed", "useless, guaranteed",
		"in time, priority 0", "late, priority 0",
		"last chance, priority 1", "in time, priority 1", "late, priority 1",
		"useless, priority 0",
	})
	c.Check(reasons, qt.DeepEquals, []string{
		"no room", "no room",
		"behind guarantee", "behind guarantee",
		"behind guarantee", "behind guarantee", "behind guarantee",
		"behind guarantee",
	})
}

// Guards against work that is stopped for an urgent job that can't be of use any more, and against a
// guarantee that is not kept for such a job. Load: a worker full of patient work, and one urgent
// gang accepted a minute ago.
func TestUselessUnitEvictsOnlyForGuarantee(t *testing.T) {
	for _, test := range []struct {
		account string
		evicts  bool
	}{{"", false}, {"big", true}} {
		t.Run("account="+test.account, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(t, 1)
			d.submit(2, "", gangStep(1, 8))
			d.settle()
			d.jobs++
			d.handle(JobSubmitted{Age: time.Minute, Revision: int64(d.jobs), Job: workload.Job{
				ID: "useless", Queue: "q0", Account: test.account, Service: "s", Steps: []workload.Step{gangStep(1, 8)},
				QueuePolicy: workload.QueuePolicy{MaxAttempts: 3, Stretch: 1.5, TargetLatency: time.Second},
			}})
			d.advance(3 * time.Second)
			c.Check(len(d.stops) > 0, qt.Equals, test.evicts)
		})
	}
}

// Guards against later occurrences of a scheduled job that count as useless, as they are due long
// after the job's acceptance.
func TestScheduledOccurrenceIsNotUselessWhenDue(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 0)
	d.handle(JobSubmitted{Age: time.Hour, Revision: 1, Job: workload.Job{
		ID: "scheduled", Queue: "q1", Service: "s", Steps: []workload.Step{gangStep(1, 1)},
		Schedule:    workload.Schedule{First: time.Unix(1000, 0), Period: time.Hour, Count: 2},
		QueuePolicy: workload.QueuePolicy{Priority: 1, Stretch: 3, TargetLatency: time.Second},
	}})
	d.tick()
	class, _ := d.e.classify(d.now, d.e.jobs["scheduled"].units[0])
	c.Check(class, qt.Equals, classLate)
}
