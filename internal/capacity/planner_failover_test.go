package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/agent"
	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/entry"
	"github.com/eelgrasshub/eelgrasshub/jobs"
)

// TestMeasurePlannerFailover kills the planner's process and measures the time until another
// entry leads its elections, and until a job submitted at that moment has run.
func TestMeasurePlannerFailover(t *testing.T) {
	requireMeasure(t)
	for _, n := range []int{1, 94} {
		t.Run(fmt.Sprintf("services=%d", n), func(t *testing.T) { measurePlannerFailover(qt.New(t), n) })
	}
}

func measurePlannerFailover(c *qt.C, n int) {
	const rounds = 5
	names := services(n)
	var allElected, firstElected, jobsDone []time.Duration
	for round := range rounds {
		region := newTestRegion(c, names...)
		firstEntry := startProcess(c, entrySettingsEnv, region.entrySettings("entry-1", time.Second))
		firstClient := api.NewClient("http://"+firstEntry.addresses[1], nil)
		eventually(c, "first entry leads all elections", func() bool { return len(listLeaderships(c, firstClient)) == n })
		secondEntry, err := entry.Start(region.entrySettings("entry-2", time.Second), discardLogger())
		c.Assert(err, qt.IsNil)
		c.Cleanup(secondEntry.Close)
		records := jobs.NewStore(regionName, region.client, nil)
		secondClient := api.NewClient("http://"+secondEntry.HTTPAddr(), nil)
		for i := range 4 {
			a, err := agent.Start(region.agentSettings(fmt.Sprint("worker-", i), names[0], secondEntry.QUICAddr(), time.Second), discardLogger())
			c.Assert(err, qt.IsNil)
			c.Cleanup(a.Close)
		}
		eventually(c, "ready", func() bool { return secondClient.Ready(context.Background()) == nil })
		time.Sleep(settleTime)
		began := time.Now()
		c.Assert(firstEntry.cmd.Process.Kill(), qt.IsNil)
		job := make(chan time.Duration)
		go func() {
			id := region.submitJob(secondClient, names[0], fmt.Sprint("job-", round), 1, time.Millisecond)
			eventually(c, "the job is done", func() bool {
				rec, err := records.Get(context.Background(), names[0], id)
				return err == nil && rec.State == jobs.Done
			})
			job <- time.Since(began)
		}()
		eventually(c, "second entry leads the first election", func() bool { return secondEntry.Epoch(names[0]) > 0 })
		firstElected = append(firstElected, time.Since(began))
		eventually(c, "second entry leads all elections", func() bool { return len(listLeaderships(c, secondClient)) == n })
		allElected = append(allElected, time.Since(began))
		jobsDone = append(jobsDone, <-job)
		secondEntry.Close()
	}
	c.Logf("%d services, %d failures of the planner's process: another entry leads the first election after p50 %v max %v, all after p50 %v max %v; a job submitted at the failure has run after p50 %v max %v | load %s",
		n, rounds, quantile(firstElected, 0.5), quantile(firstElected, 1), quantile(allElected, 0.5), quantile(allElected, 1), quantile(jobsDone, 0.5), quantile(jobsDone, 1), loadAverage())
}

func listLeaderships(c *qt.C, client *api.Client) []api.Leadership {
	status, err := client.Status(context.Background())
	c.Assert(err, qt.IsNil)
	return status.Leaderships
}
