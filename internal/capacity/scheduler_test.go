package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

type domainSize struct {
	workers, tasks, accounts int
}

// TestMeasureScheduler measures the time of scheduling decisions, and the memory, of a domain
// filled with running tasks.
func TestMeasureScheduler(t *testing.T) {
	requireMeasure(t)
	for _, d := range []domainSize{{180, 840, 1}, {3400, 15800, 94}, {17000, 79000, 94}} {
		t.Run(fmt.Sprintf("workers=%d", d.workers), func(t *testing.T) {
			for range 3 {
				measureScheduler(qt.New(t), d)
			}
		})
	}
}

// acceleratorsOf returns the number of accelerators of a worker. Racks have 10 workers; of each
// 17 racks, three have workers with 8 accelerators, three with 4, three with 2 and eight with
// none.
func acceleratorsOf(worker int) int {
	switch rack := worker / 10 % 17; {
	case rack >= 14:
		return 8
	case rack >= 11:
		return 4
	case rack >= 8:
		return 2
	}
	return 0
}

// filledScheduler is a scheduler filled with running gangs.
type filledScheduler struct {
	scheduler *scheduler.Scheduler
	now       time.Time
	rng       *rand.Rand
	jobs      int
	tasks     int
	running   []scheduler.StartGang
}

func (f *filledScheduler) step(ev scheduler.Event) time.Duration {
	began := time.Now()
	actions := f.scheduler.Step(f.now, ev)
	took := time.Since(began)
	for _, a := range actions {
		if a, ok := a.(scheduler.StartGang); ok {
			f.tasks += len(a.Placement)
			f.running = append(f.running, a)
			f.scheduler.Step(f.now, scheduler.GangStarted{Job: a.Job, Attempt: a.Attempt})
		}
	}
	return took
}

func (f *filledScheduler) submit(accounts, size int, urgent bool) time.Duration {
	f.jobs++
	adjacency := scheduler.AdjacentWorker
	if size > 8 {
		adjacency = scheduler.AdjacentZone
	}
	return f.step(scheduler.JobsSubmitted{Jobs: []scheduler.Job{{
		ID: scheduler.JobID(fmt.Sprint("job-", f.jobs)), Account: scheduler.AccountID(fmt.Sprint("a", f.jobs%accounts)), Class: "long",
		Urgent: urgent, Accelerators: size, Adjacency: adjacency, Cores: 1, MemoryMB: 1000, Repeatable: true, Checkpointable: true, Submitted: f.now,
	}}})
}

// endJob ends a running job successfully.
func (f *filledScheduler) endJob(k int) time.Duration {
	a := f.running[k]
	f.running[k] = f.running[len(f.running)-1]
	f.running = f.running[:len(f.running)-1]
	return f.step(scheduler.GangEnded{Job: a.Job, Attempt: a.Attempt, Outcome: scheduler.Done})
}

// cancelWaiting cancels every job that is not running.
func (f *filledScheduler) cancelWaiting() {
	isRunning := make(map[scheduler.JobID]bool, len(f.running))
	for _, a := range f.running {
		isRunning[a.Job] = true
	}
	var ids []scheduler.JobID
	for i := 1; i <= f.jobs; i++ {
		if id := scheduler.JobID(fmt.Sprint("job-", i)); !isRunning[id] {
			ids = append(ids, id)
		}
	}
	f.step(scheduler.JobsCancelled{IDs: ids})
}

func newFilledScheduler(d domainSize) *filledScheduler {
	f := &filledScheduler{now: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(1, 2))}
	f.scheduler = scheduler.New(scheduler.Options{Start: f.now})
	policy := scheduler.Policy{Generation: 1}
	for i := range d.accounts {
		a := scheduler.AccountPolicy{ID: scheduler.AccountID(fmt.Sprint("a", i)), Weight: 1 + i%4}
		if i%3 == 0 {
			a.Guaranteed = []scheduler.Shape{{Accelerators: 8, Adjacency: scheduler.AdjacentWorker, Count: max(1, d.workers/2125)}}
		}
		policy.Accounts = append(policy.Accounts, a)
	}
	f.step(scheduler.PolicyChanged{Policy: policy})
	var workersUp scheduler.Batch
	for i := range d.workers {
		workersUp.Events = append(workersUp.Events, scheduler.WorkerUp{Worker: scheduler.Worker{
			ID: scheduler.WorkerID(fmt.Sprintf("w%05d", i)), Zone: fmt.Sprint("z", i/900), Rack: fmt.Sprint("r", i/10),
			Accelerators: acceleratorsOf(i), Cores: 64, MemoryMB: 256_000,
		}})
	}
	f.step(workersUp)
	sizes := []int{1, 1, 1, 1, 2, 2, 4, 8, 8, 16, 32, 64, 128, 256}
	for misses := 0; misses < 50; {
		f.now = f.now.Add(time.Millisecond)
		before := f.tasks
		f.submit(d.accounts, sizes[f.rng.IntN(len(sizes))], false)
		if f.tasks == before {
			misses++
		}
	}
	for f.tasks < d.tasks {
		before := f.tasks
		f.submit(d.accounts, 0, false)
		if f.tasks == before {
			break
		}
	}
	return f
}

func measureScheduler(c *qt.C, d domainSize) {
	usageBefore := ReadUsage()
	began := time.Now()
	f := newFilledScheduler(d)
	fillTime := time.Since(began)
	usageAfter := ReadUsage()
	stats := f.scheduler.Stats()
	c.Logf("%d workers, %d accelerators (%d free), %d tasks of %d running jobs, %d accounts: heap %d MB, filled in %v, %d steps | load %s",
		d.workers, stats.Accelerators, stats.Free, f.tasks, len(f.running), d.accounts, (usageAfter.Heap-usageBefore.Heap)>>20, fillTime.Round(time.Millisecond), f.jobs, loadAverage())
	took := map[string][]time.Duration{}
	record := func(what string, t time.Duration) { took[what] = append(took[what], t) }
	for i := range 300 {
		f.now = f.now.Add(time.Second)
		record("tick", f.step(scheduler.Tick{}))
		record("submit one accelerator", f.submit(d.accounts, 1, false))
		record("a job ends", f.endJob(f.rng.IntN(len(f.running))))
		if i%10 == 0 {
			record("submit a gang of 256", f.submit(d.accounts, 256, false))
			record("submit an urgent gang of 8", f.submit(d.accounts, 8, true))
			began := time.Now()
			f.scheduler.Stats()
			record("Stats", time.Since(began))
		}
		if i%100 == 50 {
			record("a worker is lost", f.step(scheduler.WorkerDown{ID: scheduler.WorkerID(fmt.Sprintf("w%05d", f.rng.IntN(d.workers)))}))
		}
	}
	f.cancelWaiting()
	for f.scheduler.Stats().Free < stats.Accelerators/4 && len(f.running) > 0 {
		for range 50 {
			f.endJob(f.rng.IntN(len(f.running)))
		}
	}
	for range 30 {
		f.now = f.now.Add(time.Second)
		starts := len(f.running)
		took256 := f.submit(d.accounts, min(256, stats.Accelerators/8), false)
		if len(f.running) > starts {
			record("place a gang of 256", took256)
			f.endJob(len(f.running) - 1)
		}
		starts = len(f.running)
		took1 := f.submit(d.accounts, 1, false)
		if len(f.running) > starts {
			record("place one accelerator", took1)
		}
	}
	for _, what := range []string{"tick", "submit one accelerator", "a job ends", "submit a gang of 256", "submit an urgent gang of 8", "Stats", "a worker is lost", "place a gang of 256", "place one accelerator"} {
		c.Logf("  %d workers: %-26s p50 %10v p99 %10v max %10v of %d", d.workers, what, quantile(took[what], 0.5), quantile(took[what], 0.99), quantile(took[what], 1), len(took[what]))
	}
}
