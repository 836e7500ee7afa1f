package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// measured plays a workload and times every decision.
type measured struct {
	decider
	spent []float64
}

func (m *measured) Step(now time.Time, ev Event) []Action {
	t := time.Now()
	out := m.decider.Step(now, ev)
	m.spent = append(m.spent, float64(time.Since(t).Microseconds()))
	return out
}

func play(d decider, s site, o Objective, load float64, seed uint64) *result {
	m := &measured{decider: d}
	p := Policy{Generation: 1, Objective: o, Accounts: s.accounts}
	r := newDriver(m, s.workers, p, s.workload(load, seed), s.horizon).run()
	r.decide = m.spent
	return r
}

func (r *result) row(name string) string {
	mean := 0.0
	for _, x := range r.completion {
		mean += x / float64(len(r.completion))
	}
	us := 0.0
	for _, x := range r.decide {
		us += x / float64(len(r.decide))
	}
	return fmt.Sprintf("%-22s gang wait p50 %7.0f p99 %7.0f | small p50 %6.1f p99 %6.0f | completion mean %6.0f p99 %6.0f | frag %9.0f idle %9.0f | lost %8.0f in %4d | unfinished %d rejected %d | decide %5.0f us",
		name, quantile(r.gangs, .5), quantile(r.gangs, .99), quantile(r.small, .5), quantile(r.small, .99),
		mean, quantile(r.completion, .99), r.frag, r.idle, r.lost, r.evictions, r.unfinished, r.rejected, us)
}

// lend returns the site without guarantees.
func (s site) lend() site {
	s.accounts = slices.Clone(s.accounts)
	for i := range s.accounts {
		s.accounts[i].Guaranteed = nil
	}
	return s
}

func compare(b *testing.B, s site, load float64) {
	for seed := range uint64(1) {
		base := play(newBaseline(false), s, 0, load, seed)
		b.Log("\n", s.name, "load", load, "seed", seed, "\n", base.row("first fit"))
		if len(s.workers) < 100 {
			b.Log("\n", play(newBaseline(true), s, 0, load, seed).row("strict FIFO"))
		}
		for _, o := range []Objective{CompletionTime, Fragmentation} {
			r := play(New(Options{Start: time.Unix(1e9, 0)}), s, o, load, seed)
			b.Log("\n", r.row([]string{"CompletionTime", "Fragmentation"}[o]))
			b.ReportMetric(quantile(base.gangs, .99)/max(1, quantile(r.gangs, .99)), fmt.Sprint("p99x", o))
			b.ReportMetric(r.frag/base.frag, fmt.Sprint("frag", o))
		}
	}
}

func BenchmarkTidewater(b *testing.B) { compare(b, tidewater(), 0.8) }
func BenchmarkPeachline(b *testing.B) { compare(b, peachline(), 0.8) }
func BenchmarkTwoYears(b *testing.B)  { compare(b, twoYears().lend(), 1.1) }
