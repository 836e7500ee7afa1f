package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reasonCounts counts the explanations in a randomised run by reason.
type reasonCounts map[WaitReason]int

// Every explanation must agree with the next decision and with a search of all
// workers that does not use the indexes.
func TestExplanationsMatchDecisions(t *testing.T) {
	counts := reasonCounts{}
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			m := newModel(t, seed+100, 8+int(seed)*3)
			for range 400 {
				m.randomEvent()
				m.checkExplanations(counts)
				m.submitAndExplain(counts)
			}
		})
	}
	t.Log(counts)
	for _, r := range []WaitReason{
		WaitNone, WaitFitsNow, WaitRetry, WaitReclaim, WaitReserved, WaitBehind, WaitYields, WaitDegraded,
		WaitGuaranteed, WaitReservations, WaitOverShare, WaitNoPlace, WaitNoCapacity,
	} {
		qt.Check(t, counts[r] > 0, qt.IsTrue, qt.Commentf("reason %v never occurred", r))
	}
}

// submitAndExplain submits a job without a decision, checks the predictions for
// it, and then lets the scheduler decide.
func (m *model) submitAndExplain(counts reasonCounts) {
	if m.rng.IntN(3) > 0 {
		return
	}
	j := m.newJob()
	m.s.apply(JobsSubmitted{[]Job{j}})
	if m.s.jobs[j.ID] == nil {
		m.endJob(j.ID) // the queue of its account is full
		return
	}
	m.checkPredictions(counts)
}

// checkExplanations compares the explanation of every live job with the model.
func (m *model) checkExplanations(counts reasonCounts) {
	open, withoutReservations := m.recountOpen(false), m.recountOpen(true)
	for _, id := range m.order {
		e, ok := m.s.Explain(id)
		if !ok {
			m.fatalf("live job %q has no explanation", id)
		}
		counts[e.Reason]++
		m.checkExplanation(m.jobs[id], e, open, withoutReservations)
	}
	m.checkPredictions(counts)
}

// checkPredictions compares what is predicted to start, or to wait, with the
// next decision.
func (m *model) checkPredictions(counts reasonCounts) {
	var expectedStarts, expectedWaits []JobID
	// Unbound blocks take reserved capacity before the queue is tried.
	binds := m.s.bindsNext()
	for _, id := range m.order {
		switch e, _ := m.s.Explain(id); e.Reason {
		case WaitFitsNow:
			expectedStarts = append(expectedStarts, id)
			counts[WaitFitsNow]++
		case WaitNextDecision, WaitReclaim, WaitReserved, WaitBehind, WaitNone:
			// These may or may not start in the next decision.
		case WaitReservations:
			if !binds {
				expectedWaits = append(expectedWaits, id)
			}
		default:
			expectedWaits = append(expectedWaits, id)
		}
	}
	m.now = m.s.now // no time passes
	m.step(Tick{})
	for _, id := range expectedStarts {
		if m.jobs[id] == nil || m.jobs[id].place == nil {
			m.fatalf("job %q was predicted to start and did not", id)
		}
	}
	for _, id := range expectedWaits {
		if j := m.jobs[id]; j != nil && j.place != nil {
			m.fatalf("job %q was predicted to wait and started", id)
		}
	}
}

// checkExplanation verifies one explanation against a search of all workers.
func (m *model) checkExplanation(j *modelJob, e Explanation, open, withoutReservations map[WorkerID]int) {
	fail := func(why string) { m.fatalf("wrong explanation of job %q: %+v: %s", j.ID, e, why) }
	if (e.Reason == WaitNone) != (j.place != nil) {
		fail("attempt is missing or exists")
	}
	x := m.s.jobs[j.ID]
	switch e.Reason {
	case WaitNoPlace, WaitNoCapacity, WaitOverShare:
		if m.fitsBySearch(j, open, nil) {
			fail("search found a place")
		}
		if (e.Free >= j.Accelerators) != (m.total(open) >= j.Accelerators) {
			fail("number of free accelerators differs")
		}
		if e.Reason == WaitOverShare && m.s.weightedShare(m.s.jobs[e.First].account) >= m.s.weightedShare(x.account) {
			fail("share of the first job's account is not lower")
		}
	case WaitNextDecision:
		if q := x.queue; q.noPlaceStamp == m.s.capacityStamp(q) && q.noClaimStamp >= m.s.claimStamp(x.account, afterOpen) {
			fail("queue was tried and will not be tried again")
		}
	case WaitReservations:
		if m.fitsBySearch(j, open, nil) || !m.fitsBySearch(j, withoutReservations, nil) {
			fail("place exists despite reservations, or not even without them")
		}
	case WaitFailedWorkers:
		if !m.fitsBySearch(j, open, nil) || m.fitsBySearch(j, open, x.failedNodes) {
			fail("no place at all, or a place on other workers")
		}
	case WaitGuaranteed:
		if x.mayBorrow() || !m.fitsBySearch(j, open, nil) {
			fail("job may borrow, or there is no place")
		}
	case WaitReclaim:
		if e.Evicting == 0 || len(x.claim.blockUses) == 0 {
			fail("no claim or no evictions in progress")
		}
	case WaitBehind:
		if x.queue.head == x || m.s.jobs[e.First].queue != x.queue || e.Ahead == 0 {
			fail("job is first, or First is in another queue")
		}
	case WaitRetry:
		if x.queue != nil || !e.Until.After(e.At) {
			fail("job is queued, or Until is not in the future")
		}
	case WaitDegraded:
		if len(m.degraded) == 0 {
			fail("no guarantee is degraded")
		}
	}
}

// recountOpen counts the open accelerators of each worker from the attempts and
// claims, optionally as if there were no reservations. Attempts whose footprint
// is above 1 hold more than they were granted.
func (m *model) recountOpen(ignoreReservations bool) map[WorkerID]int {
	held, stopping, claimed, reserved := map[nodeID]int{}, map[nodeID]int{}, map[nodeID]int{}, map[nodeID]int{}
	for _, j := range m.s.jobs {
		if j.run == nil {
			continue
		}
		for _, p := range j.run.held {
			held[p.node] += p.count
			if !j.run.protected && j.run.state == runStopping {
				stopping[p.node] += p.count
			}
		}
	}
	for _, c := range m.s.claims {
		for _, p := range c.allocations {
			if c.guaranteed() {
				claimed[p.node] += p.count
			} else if !ignoreReservations {
				reserved[p.node] += p.count
			}
		}
	}
	free := map[WorkerID]int{}
	for _, id := range m.ids {
		n := m.s.nodeByID[id]
		if n == nil || !m.up[id] || n.health.excluded {
			continue
		}
		idle := m.workers[id].Accelerators - held[n.id]
		free[id] = max(0, max(0, min(idle, idle+stopping[n.id]-claimed[n.id]))-reserved[n.id])
	}
	return free
}

func (m *model) total(free map[WorkerID]int) int {
	t := 0
	for _, n := range free {
		t += n
	}
	return t
}

// fitsBySearch reports whether one unit of a job's span holds it, without the
// excluded nodes.
func (m *model) fitsBySearch(j *modelJob, free map[WorkerID]int, except []nodeID) bool {
	units := map[string]int{}
	for id, n := range free {
		skip := false
		for _, x := range except {
			skip = skip || m.s.nodes[x].ID == id
		}
		w := m.workers[id]
		span := [...]string{"", w.Zone, w.Zone + "/" + w.Rack, string(id)}[j.Adjacency]
		if u := searchFootprint(j, w); !skip && u <= w.Accelerators {
			units[span] += n / u
		}
	}
	for _, n := range units {
		if n >= j.Accelerators {
			return true
		}
	}
	return false
}

// searchFootprint returns how many accelerators of a worker one accelerator of
// the job takes up. A quarter of the cores and memory is kept for jobs without
// accelerators.
func searchFootprint(j *modelJob, w Worker) int {
	u := 1
	for u <= w.Accelerators && (j.Cores > (w.Cores-w.Cores/4)/w.Accelerators*u || j.MemoryMB > (w.MemoryMB-w.MemoryMB/4)/w.Accelerators*u) {
		u++
	}
	return u
}

// The explanation of a job that waits for a job of an account with a lower
// share must name that job.
func TestOverShareNamesFirstJob(t *testing.T) {
	c := qt.New(t)
	p := Policy{Generation: 1, Accounts: []AccountPolicy{{ID: "heavy"}, {ID: "light"}}}
	b := newHarness(t, p, eightAcceleratorWorkers(1)...)
	b.submit(Job{ID: "runs", Account: "heavy", Accelerators: 8, Repeatable: true})
	b.submit(Job{ID: "more", Account: "heavy", Accelerators: 4, Repeatable: true})
	b.submit(Job{ID: "other", Account: "light", Accelerators: 4, Repeatable: true})
	e, ok := b.s.Explain("more")
	c.Assert(ok, qt.IsTrue)
	c.Check(e.Reason, qt.Equals, WaitOverShare)
	c.Check(e.First, qt.Equals, JobID("other"))
	e, _ = b.s.Explain("other")
	c.Check(e.Reason, qt.Equals, WaitNoCapacity)
	_, ok = b.s.Explain("never submitted")
	c.Check(ok, qt.IsFalse)
}

// A job too large for the workers registered so far must not be called
// impossible while settling.
func TestLargeJobIsSettlingNotImpossible(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1e6, 0)
	s := New(Options{Start: at, SettlingPeriod: 5 * time.Second})
	s.Step(at, PolicyChanged{Policy{Generation: 1, Accounts: []AccountPolicy{{ID: "a"}}}})
	s.Step(at, JobsSubmitted{[]Job{{ID: "j", Account: "a", Accelerators: 16, Repeatable: true}}})
	e, _ := s.Explain("j")
	c.Check(e.Reason, qt.Equals, WaitNoWorkers)
	s.Step(at, WorkerUp{eightAcceleratorWorkers(1)[0]})
	e, _ = s.Explain("j")
	c.Check(e.Reason, qt.Equals, WaitSettling)
	c.Check(e.Until, qt.Equals, at.Add(5*time.Second))
}
