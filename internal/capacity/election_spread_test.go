package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/entry"
)

// TestMeasureElectionSpread measures how the planner leaderships spread over four entries after
// their start, and the store calls that this costs.
func TestMeasureElectionSpread(t *testing.T) {
	requireMeasure(t)
	for _, late := range []bool{false, true} {
		for _, n := range []int{1, 10, 94} {
			t.Run(fmt.Sprintf("late=%v/services=%d", late, n), func(t *testing.T) { measureElectionSpread(qt.New(t), n, late) })
		}
	}
}

// measureElectionSpread starts the entries together or, with late, three of them after the first
// leads all elections.
func measureElectionSpread(c *qt.C, n int, late bool) {
	region := newTestRegion(c, services(n)...)
	var entries []*entry.Entry
	for i := range 4 {
		e, err := entry.Start(region.entrySettings(fmt.Sprint("entry-", i), time.Second), discardLogger())
		c.Assert(err, qt.IsNil)
		c.Cleanup(e.Close)
		entries = append(entries, e)
		if late && i == 0 {
			eventually(c, "first entry leads all elections", func() bool { return countLeaderships(c, entries)[0] == n })
		}
	}
	began := time.Now()
	calls := region.calls.Calls()
	for range 8 {
		time.Sleep(10 * time.Second)
		now := region.calls.Calls()
		c.Logf("%d services, three late: %v, %v after the last start: leaderships %v; calls a second %s | load %s",
			n, late, time.Since(began).Round(time.Second), countLeaderships(c, entries), callIncrease(now, calls, 10), loadAverage())
		calls = now
	}
}

// countLeaderships returns the number of planner leaderships of each entry.
func countLeaderships(c *qt.C, entries []*entry.Entry) []int {
	var counts []int
	for _, e := range entries {
		status, err := api.NewClient("http://"+e.HTTPAddr(), nil).Status(context.Background())
		c.Assert(err, qt.IsNil)
		counts = append(counts, len(status.Leaderships))
	}
	return counts
}
