package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	for _, load := range []float64{0.6, 0.7, 0.8} {
		var b50, b99, c50, c99, bf, cf, bl, cl, f99, ff, cm, bm float64
		for seed := range uint64(6) {
			st := tidewater()
			if NG {
				for i := range st.accounts {
					st.accounts[i].Guaranteed = nil
				}
			}
			b := play(newBaseline(false), st, 0, load, seed)
			c := play(New(Options{Start: time.Unix(1e9, 0)}), st, 0, load, seed)
			f := play(New(Options{Start: time.Unix(1e9, 0)}), st, 1, load, seed)
			b50 += quantile(b.gangs, .5)
			c50 += quantile(c.gangs, .5)
			b99 += quantile(b.gangs, .99)
			c99 += quantile(c.gangs, .99)
			f99 += quantile(f.gangs, .99)
			bf += b.frag
			cf += c.frag
			ff += f.frag
			bl += b.lost
			cl += c.lost
			for _, x := range b.completion {
				bm += x / float64(len(b.completion))
			}
			for _, x := range c.completion {
				cm += x / float64(len(c.completion))
			}
		}
		t.Logf("load %.1f: p50 %.0f/%.0f p99 base %.0f cand %.0f fragobj %.0f ratio %.2f | frag ratio %.2f %.2f | lost %.0f/%.0f | mean completion %.0f/%.0f", load, b50/6, c50/6, b99/6, c99/6, f99/6, b99/c99, cf/bf, ff/bf, cl/6, bl/6, cm/6, bm/6)
	}
	_ = fmt.Sprint
	_ = slices.Sort[[]int]
}

var NG = false
