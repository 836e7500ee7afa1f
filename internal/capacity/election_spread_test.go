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

// TestMeasureSpread shows how many duties each of four entries holds, from their
// start on, and what their moves cost the store.
func TestMeasureSpread(t *testing.T) {
	needMeasure(t)
	for _, late := range []bool{false, true} {
		for _, n := range []int{1, 10, 94} {
			t.Run(fmt.Sprintf("late=%v/services=%d", late, n), func(t *testing.T) { measureSpread(qt.New(t), n, late) })
		}
	}
}

// measureSpread starts the entries together, or three of them late: when the first
// holds all duties.
func measureSpread(c *qt.C, n int, late bool) {
	s := newSite(c, services(n)...)
	var entries []*entry.Entry
	for i := range 4 {
		e, err := entry.Start(s.entry(fmt.Sprint("entry-", i), time.Second), quiet())
		c.Assert(err, qt.IsNil)
		c.Cleanup(e.Close)
		entries = append(entries, e)
		if late && i == 0 {
			eventually(c, "all duties held", func() bool { return held(c, entries)[0] == n })
		}
	}
	began := time.Now()
	calls := s.calls.Calls()
	for range 8 {
		time.Sleep(10 * time.Second)
		now := s.calls.Calls()
		c.Logf("%d services, three late: %v, %v after the last start: duties held %v; calls a second %s | load %s",
			n, late, time.Since(began).Round(time.Second), held(c, entries), grown(now, calls, 10), loadAverage())
		calls = now
	}
}

// held counts the duties of each entry.
func held(c *qt.C, entries []*entry.Entry) []int {
	var out []int
	for _, e := range entries {
		status, err := api.NewClient("http://"+e.HTTPAddr(), nil).Status(context.Background())
		c.Assert(err, qt.IsNil)
		out = append(out, len(status.Leaderships))
	}
	return out
}
