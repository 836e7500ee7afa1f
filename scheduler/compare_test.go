package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// timedScheduler times every decision of a scheduler.
type timedScheduler struct {
	stepper
	stepTimes []float64
}

func (m *timedScheduler) Step(now time.Time, ev Event) []Action {
	t := time.Now()
	out := m.stepper.Step(now, ev)
	m.stepTimes = append(m.stepTimes, float64(time.Since(t).Microseconds()))
	return out
}

// simulate runs a workload of a site against a scheduler.
func simulate(d stepper, s site, o Objective, load float64, seed uint64) *result {
	m := &timedScheduler{stepper: d}
	p := Policy{Generation: 1, Objective: o, Accounts: s.accounts}
	r := newSimulator(m, s.workers, p, s.workload(load, seed), s.horizon).run()
	r.decisionTimes = m.stepTimes
	return r
}

func (r *result) summary(name string) string {
	mean := 0.0
	for _, x := range r.completion {
		mean += x / float64(len(r.completion))
	}
	meanMicros := 0.0
	for _, x := range r.decisionTimes {
		meanMicros += x / float64(len(r.decisionTimes))
	}
	return fmt.Sprintf("%-22s gang wait p50 %7.0f p99 %7.0f | small p50 %6.1f p99 %6.0f | completion mean %6.0f p99 %6.0f | frag %9.0f idle %9.0f | lost %8.0f in %4d | unfinished %d rejected %d | decide %5.0f us",
		name, quantile(r.gangs, .5), quantile(r.gangs, .99), quantile(r.smallJobs, .5), quantile(r.smallJobs, .99),
		mean, quantile(r.completion, .99), r.fragmentation, r.idle, r.lostWork, r.evictions, r.unfinished, r.rejected, meanMicros)
}

// withoutGuarantees returns the site with no guaranteed shapes.
func (s site) withoutGuarantees() site {
	s.accounts = slices.Clone(s.accounts)
	for i := range s.accounts {
		s.accounts[i].Guaranteed = nil
	}
	return s
}

// compare simulates the same workloads with the baselines and with both
// objectives. It reports ratios to first fit: of the p99 wait of gangs (above 1
// means a shorter wait than the baseline), of fragmentation and of mean
// completion time (below 1 means less than the baseline).
func compare(b *testing.B, s site, load float64, seeds uint64) {
	var base, fifo, partitioned [3]float64
	var ours [2][3]float64
	for seed := range seeds {
		r := simulate(newBaseline(false), s, 0, load, seed)
		b.Log("\n", s.name, "load", load, "seed", seed, "\n", r.summary("first fit"))
		r.addTo(&base)
		if len(s.workers) < 100 {
			r = simulate(newBaseline(true), s, 0, load, seed)
			b.Log("\n", r.summary("strict FIFO"))
			r.addTo(&fifo)
			p := newBaseline(false)
			p.partitioned = true
			r = simulate(p, s, 0, load, seed)
			b.Log("\n", r.summary("own workers"))
			r.addTo(&partitioned)
		}
		for _, o := range []Objective{CompletionTime, Fragmentation} {
			r := simulate(New(Options{Start: time.Unix(1e9, 0)}), s, o, load, seed)
			b.Log("\n", r.summary([]string{"CompletionTime", "Fragmentation"}[o]))
			r.addTo(&ours[o])
		}
	}
	for o, name := range []string{"ct", "frag"} {
		b.ReportMetric(base[0]/ours[o][0], "p99-x-firstfit-"+name)
		b.ReportMetric(ours[o][1]/base[1], "frag-of-firstfit-"+name)
		b.ReportMetric(ours[o][2]/base[2], "completion-of-firstfit-"+name)
		if fifo[0] == 0 {
			continue
		}
		b.ReportMetric(fifo[0]/ours[o][0], "p99-x-fifo-"+name)
		b.ReportMetric(partitioned[0]/ours[o][0], "p99-x-parted-"+name)
		b.ReportMetric(ours[o][1]/partitioned[1], "frag-of-parted-"+name)
		b.ReportMetric(ours[o][2]/partitioned[2], "completion-of-parted-"+name)
	}
}

// addTo adds the p99 wait of gangs, fragmentation and the mean completion time
// to sum.
func (r *result) addTo(sum *[3]float64) {
	sum[0] += quantile(r.gangs, .99)
	sum[1] += r.fragmentation
	for _, x := range r.completion {
		sum[2] += x / float64(len(r.completion))
	}
}

const benchmarkSeeds = 4

func BenchmarkTidewater(b *testing.B) { compare(b, tidewater(), 0.7, benchmarkSeeds) }
func BenchmarkPeachline(b *testing.B) { compare(b, peachline(), 0.8, benchmarkSeeds) }
func BenchmarkTidewaterNoGuarantees(b *testing.B) {
	compare(b, tidewater().withoutGuarantees(), 0.7, benchmarkSeeds)
}
func BenchmarkPeachlineNoGuarantees(b *testing.B) {
	compare(b, peachline().withoutGuarantees(), 0.8, benchmarkSeeds)
}
func BenchmarkLargeSiteNoGuarantees(b *testing.B) {
	compare(b, largeSite().withoutGuarantees(), 1.1, 1)
}
