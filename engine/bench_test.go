package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workerspeed"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// busyFleet returns an engine whose workers are all full and whose queue holds equal numbers of
// gangs, urgent tasks and low-priority tasks.
func busyFleet(b *testing.B, workers, waiting int) (*Engine, time.Duration) {
	now := time.Second
	e := New(Params{
		MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, RemoteSlowdown: 3,
		MaxReclaimWait: 3 * time.Second, Retention: time.Minute,
	}, 1, now, 0)
	e.Step(now, CatalogChanged{Catalog: &catalog.Catalog{}})
	for i := range workers {
		e.Report(now, Report{Epoch: 1, Polled: true, Worker: WorkerInfo{
			ID: WorkerID(fmt.Sprintf("w%05d", i)), Agent: fmt.Sprint("agent", i), Service: "s", Rack: fmt.Sprint("r", i/12),
			Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 128000, Accelerators: 8},
		}})
	}
	store := func() {
		for {
			w := e.PendingChanges(now, time.Unix(1000, 0), 1000)
			if w.Empty() {
				return
			}
			e.Step(now, WriteApplied{Write: w})
		}
	}
	store()
	submit := func(n, priority, count, accelerators int, asGang bool) {
		step := taskStep(count, accelerators)
		step.Gang, step.SameRack = asGang, asGang
		e.Step(now, JobSubmitted{Revision: int64(n), Job: workload.Job{
			ID: workload.JobID(fmt.Sprintf("job%06d", n)), Queue: fmt.Sprint("q", priority), Service: "s",
			Steps: []workload.Step{step}, QueuePolicy: workload.QueuePolicy{Priority: priority, Stretch: 3},
		}})
	}
	for i := range workers {
		submit(i, 2, 1, 8, false)
	}
	e.Decide(now)
	store()
	e.Decide(now)
	for i := range waiting / 3 {
		submit(workers+3*i, 1, 4, 8, true)
		submit(workers+3*i+1, 0, 1, 8, false)
		submit(workers+3*i+2, 2, 1, 1, false)
	}
	return e, now
}

// BenchmarkRound measures one planning round.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{30, 100}, {100, 300}, {300, 1000}, {1000, 1000}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			e, now := busyFleet(b, size.workers, size.waiting)
			e.plan(now) // the first round makes claims and evictions
			b.ResetTimer()
			for range b.N {
				e.plan(now)
				e.actions = nil
			}
		})
	}
}

// BenchmarkRoundWithSpeeds measures one planning round where one worker of three is slow: of a full
// fleet, and of one where the slow workers are free.
func BenchmarkRoundWithSpeeds(b *testing.B) {
	for _, learn := range []bool{false, true} {
		for _, free := range []bool{false, true} {
			b.Run(fmt.Sprintf("speeds=%v/slow-free=%v", learn, free), func(b *testing.B) {
				e, now := busyFleet(b, 1000, 1000)
				e.params.Policy.WorkerSpeeds = learn
				for i, w := range e.sortedWorkers() {
					effect := -0.3
					if isSlow(i) {
						effect = 0.6
					}
					e.tracker.speeds.Restore(now, "s", string(w.info.ID), workerspeed.Evidence{Effect: effect, Precision: 400})
					if free && isSlow(i) {
						for _, p := range w.sortedPlacements() {
							w.removePlacement(p)
						}
					}
				}
				now += 4 * time.Second // the urgent units can be in time on fast workers only
				for _, w := range e.sortedWorkers() {
					w.lastReport, w.leaseExpiresAt = now, now+time.Minute
				}
				e.plan(now) // the first round makes claims and evictions
				b.ResetTimer()
				for range b.N {
					e.plan(now)
					e.actions = nil
				}
			})
		}
	}
}
