package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDbg3(t *testing.T) {
	type row struct {
		w float64
		s string
	}
	for seed := range uint64(3) {
		var rows []row
		dump = func(j *attempt) {
			if j.Accelerators < 1000 {
				rows = append(rows, row{j.waited.Seconds(), fmt.Sprint(j.ID, " ", j.Accelerators, "/", j.Adjacency, " ", j.Account, " firm ", !j.Evictable(), " at ", j.at.Round(time.Second), " run ", j.work.run.Round(time.Second), " attempts ", j.n)})
			}
		}
		play(New(Options{Start: time.Unix(1e9, 0)}), tidewater(), 0, 0.7, seed)
		slices.SortFunc(rows, func(a, b row) int { return int(b.w - a.w) })
		for _, r := range rows[:15] {
			t.Logf("%.0f %s", r.w, r.s)
		}
	}
	dump = nil
}
