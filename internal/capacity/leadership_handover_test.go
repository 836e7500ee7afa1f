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

// TestMeasureLeadershipHandover checks that no gang is disturbed when an entry that starts late
// takes over some of the planner leaderships of ten services.
func TestMeasureLeadershipHandover(t *testing.T) {
	c := requireMeasure(t)
	const n, run = 10, 45 * time.Second
	names := services(n)
	region := newTestRegion(c, names...)
	startEntry := func(id string) *entry.Entry {
		e, err := entry.Start(region.entrySettings(id, time.Second), discardLogger())
		c.Assert(err, qt.IsNil)
		c.Cleanup(e.Close)
		return e
	}
	firstEntry := startEntry("entry-1")
	eventually(c, "first entry leads all elections", func() bool { return countLeaderships(c, []*entry.Entry{firstEntry})[0] == n })
	for i, name := range names {
		for k := range 2 {
			a, err := agent.Start(region.agentSettings(fmt.Sprintf("worker-%d-%d", i, k), name, firstEntry.QUICAddr(), time.Second), discardLogger())
			c.Assert(err, qt.IsNil)
			c.Cleanup(a.Close)
		}
	}
	eventually(c, "agents known", func() bool {
		known, applied := region.countAlive(firstEntry.HTTPAddr(), 1)
		return known == 2*n && applied == 2*n
	})
	secondEntry := startEntry("entry-2")
	client := api.NewClient("http://"+firstEntry.HTTPAddr(), nil)
	eventually(c, "ready", func() bool { return client.Ready(context.Background()) == nil })
	records := jobs.NewStore(regionName, region.client, nil)
	ids := make(map[string]string)
	for _, name := range names {
		ids[name] = region.submitJob(client, name, "gang-"+name, 16, run)
	}
	transferred := 0
	for _, name := range names {
		var rec jobs.Stored
		eventually(c, "the gang is done", func() bool {
			var err error
			rec, err = records.Get(context.Background(), name, ids[name])
			return err == nil && rec.State == jobs.Done
		})
		c.Check(rec.Attempt, qt.Equals, uint64(1), qt.Commentf("%s", name))
		if secondEntry.Epoch(name) > 0 {
			transferred++
		}
	}
	c.Logf("%d services with a running gang of two members each: %d leaderships were handed over, no gang was disturbed unless reported above | load %s", n, transferred, loadAverage())
}
