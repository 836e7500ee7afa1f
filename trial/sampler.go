package trial

import (
	"context"
	"math"
	"time"

	"github.com/eelgrasshub/eelgrasshub/load"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

const sampleInterval = 200 * time.Millisecond

// SampleFragmentation samples the planner's statistics until ctx is done. It takes no samples
// while no entry is the planner leader.
func (c *Cluster) SampleFragmentation(ctx context.Context) []load.FragmentationSample {
	startedAt := time.Now()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	var list []load.FragmentationSample
	for {
		select {
		case <-ctx.Done():
			return list
		case now := <-ticker.C:
			if s, ok := c.PlannerStats(); ok {
				list = append(list, load.FragmentationSample{
					At:                   now.Sub(startedAt),
					FreeAccelerators:     s.Free,
					StrandedAccelerators: int(math.Round(s.Fragmentation)),
					WaitingJobs:          countWaitingJobs(s),
				})
			}
		}
	}
}

func countWaitingJobs(s scheduler.Stats) int {
	n := 0
	for _, a := range s.Accounts {
		for _, jobs := range a.Waiting {
			n += jobs
		}
	}
	return n
}
