package scheduler

import (
	"fmt"
	"testing"
	"time"
)

func TestDbg2(t *testing.T) {
	s := New(Options{Start: time.Unix(1e9, 0)})
	site := tidewater()
	x := newDriver(s, site.workers, Policy{Generation: 1, Accounts: site.accounts}, site.workload(0.8, 0), site.horizon)
	x.after(4*time.Hour, func() {
		var f func()
		n := 0
		f = func() {
			n++
			if n > 40 {
				return
			}
			out := fmt.Sprintf("%v ", x.now.Sub(x.start))
			for _, nd := range s.nodes {
				out += fmt.Sprintf("[%s%s h%d f%d s%d b%d c%d w%d l%d] ", nd.Zone[:1], nd.Rack, nd.held, nd.firm, nd.soft, nd.bound, nd.claim, nd.wait, nd.leave)
			}
			out += "\n   "
			for _, c := range s.claims {
				out += fmt.Sprintf("claim{%s %d/%v g=%v ready %v made %v} ", c.job.ID, c.job.Accelerators, c.job.Adjacency, c.guaranteed(), c.ready.Sub(x.now).Round(time.Second), x.now.Sub(c.made).Round(time.Second))
			}
			out += "\n   wait "
			for _, a := range s.accountList {
				for _, q := range a.order {
					out += fmt.Sprintf("%s:%d/%v x%d ", a.policy.ID, q.key.accelerators, q.key.span, q.n)
				}
			}
			t.Log(out)
			x.after(30*time.Second, f)
		}
		f()
	})
	x.run()
}
