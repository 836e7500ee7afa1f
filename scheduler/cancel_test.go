package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCancelJobs cancels growing numbers of jobs out of a queue of twice
// that size and reports the time per cancelled job.
func BenchmarkCancelJobs(b *testing.B) {
	for _, count := range []int{1_000, 4_000, 16_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			var elapsed time.Duration
			for range b.N {
				s := New(Options{Start: now})
				s.Step(now, Batch{[]Event{PolicyChanged{Policy{Generation: 1, Accounts: []AccountPolicy{{ID: "a", MaxQueued: 4 * count}}}}, WorkerUp{eightAcceleratorWorkers(1)[0]}}})
				var jobs []Job
				var ids []JobID
				for i := range 2 * count {
					jobs = append(jobs, Job{ID: JobID(fmt.Sprint("j", i)), Account: "a", Accelerators: 8})
					if i%2 == 1 {
						ids = append(ids, jobs[i].ID)
					}
				}
				s.Step(now, JobsSubmitted{jobs})
				t := time.Now()
				s.Step(now, JobsCancelled{ids})
				elapsed += time.Since(t)
			}
			b.ReportMetric(float64(elapsed.Nanoseconds())/float64(b.N*count), "ns/job")
		})
	}
}
