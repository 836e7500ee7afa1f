package scheduler

import (
	"slices"
	"time"
)

// maxListedWorkers bounds the workers that each list of a Report names.
const maxListedWorkers = 64

// Report describes a scheduling domain to operators and client accounts, as of
// the last decision.
type Report struct {
	At time.Time
	// Settling is set while workers may still be registering.
	Settling bool
	// FreeUnits counts, by span, the units by their open accelerators.
	FreeUnits   map[Adjacency][]FreeUnits
	Accounts    []AccountReport
	Quarantined WorkerList
	Draining    WorkerList
	Lost        WorkerList
}

// WorkerList counts the workers in one state and names the first of them.
type WorkerList struct {
	Count   int
	Workers []WorkerStatus
}

// WorkerStatus describes a worker that gets no new work. Until is the end of
// its quarantine and Since the time at which it was lost; each is zero where it
// does not apply.
type WorkerStatus struct {
	ID    WorkerID
	Since time.Time
	Until time.Time
	// Probing is set if the quarantine is over and the worker waits for, or
	// runs, a single probe job.
	Probing bool
}

func (l *WorkerList) add(w WorkerStatus) {
	l.Count++
	if len(l.Workers) < maxListedWorkers {
		l.Workers = append(l.Workers, w)
	}
}

// AccountReport is the state of one account, in accelerators unless stated
// otherwise.
type AccountReport struct {
	ID AccountID
	// Guaranteed is the total size of the account's blocks, Used what its jobs
	// use of them, Borrowed what its jobs use outside them, and Unplaced the
	// size of the blocks that are unbound now.
	Guaranteed int
	Used       int
	Borrowed   int
	Unplaced   int
	Evicted    EvictionTotals
	Classes    []ClassReport
}

// ClassReport counts the jobs of one account and class.
type ClassReport struct {
	Class               string
	Running             int
	RunningAccelerators int
	Waiting             int
	WaitingAccelerators int
	// OldestSubmission is when the job that has waited longest was submitted.
	OldestSubmission time.Time
}

// Report describes the state after the last decision. Its cost is linear in
// workers, attempts and queues, so one report should serve many readers.
func (s *Scheduler) Report() Report {
	out := Report{At: s.now, Settling: s.now.Before(s.settlingEnds), FreeUnits: map[Adjacency][]FreeUnits{}}
	for span := AdjacentAny; span <= AdjacentWorker; span++ {
		out.FreeUnits[span] = s.open.freeUnits(span, maxUnitSizes)
	}
	s.reportWorkers(&out)
	classes := s.reportClasses()
	for _, a := range s.accountList {
		out.Accounts = append(out.Accounts, a.report(classes[a]))
	}
	return out
}

func (s *Scheduler) reportWorkers(out *Report) {
	for _, n := range s.nodes {
		switch {
		case n.ID == "":
		case !n.up && s.now.Sub(n.health.until) < forgetNodeAfter:
			out.Lost.add(WorkerStatus{ID: n.ID, Since: n.health.until})
		case !n.up:
		case n.draining:
			out.Draining.add(WorkerStatus{ID: n.ID})
		case n.health.excluded:
			out.Quarantined.add(WorkerStatus{ID: n.ID, Until: n.health.until, Probing: n.health.probing})
		}
	}
}

// classReports holds the reports of one account by class.
type classReports map[string]*ClassReport

func (c classReports) get(class string) *ClassReport {
	if c[class] == nil {
		c[class] = &ClassReport{Class: class}
	}
	return c[class]
}

// reportClasses counts by attempts and queues, so that its cost does not depend
// on the number of queued jobs.
func (s *Scheduler) reportClasses() map[*account]classReports {
	out := map[*account]classReports{}
	for _, a := range s.accountList {
		out[a] = classReports{}
		for _, q := range a.queueList {
			out[a].get(q.key.class).addQueue(q)
		}
	}
	for _, j := range s.delayed {
		out[j.account].get(j.Class).addWaiting(j, 1)
	}
	for _, n := range s.nodes {
		for _, r := range n.runs {
			if r.held[0].node == n.id {
				out[r.job.account].get(r.job.Class).addRun(r)
			}
		}
	}
	return out
}

func (c *ClassReport) addQueue(q *queue) {
	if q.length > 0 {
		c.addWaiting(q.head, q.length)
	}
}

// addWaiting counts n jobs of equal size, of which first was submitted first.
func (c *ClassReport) addWaiting(first *job, n int) {
	c.Waiting += n
	c.WaitingAccelerators += n * first.Accelerators
	if c.OldestSubmission.IsZero() || first.Submitted.Before(c.OldestSubmission) {
		c.OldestSubmission = first.Submitted
	}
}

func (c *ClassReport) addRun(r *run) {
	c.Running++
	c.RunningAccelerators += r.job.Accelerators
}

func (a *account) report(classes classReports) AccountReport {
	out := AccountReport{ID: a.policy.ID, Borrowed: a.usedOutsideBlocks, Evicted: a.evicted}
	for _, b := range a.blocks {
		out.Guaranteed += b.shape.Accelerators
		out.Used += b.used
		if !b.bound() {
			out.Unplaced += b.shape.Accelerators
		}
	}
	for _, c := range classes {
		out.Classes = append(out.Classes, *c)
	}
	slices.SortFunc(out.Classes, func(x, y ClassReport) int {
		if x.Class < y.Class {
			return -1
		}
		return 1
	})
	return out
}
