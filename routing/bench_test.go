package routing_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

func faultScenario() scenario {
	return scenario{
		seed: 1, entries: 3, load: 0.8, length: 20 * time.Second, deadline: 2 * time.Second,
		attemptTimeout: 500 * time.Millisecond, accountShares: []float64{0.4, 0.3, 0.2, 0.1}, slow: 1, unresponsive: 1,
	}
}

func overloadScenario() scenario {
	return scenario{
		seed: 2, entries: 3, load: 3, length: 10 * time.Second, deadline: 500 * time.Millisecond,
		attemptTimeout: 500 * time.Millisecond, accountShares: []float64{0.9, 0.04, 0.03, 0.03},
	}
}

func failingScenario(failing int) scenario {
	sc := faultScenario()
	sc.load, sc.slow, sc.unresponsive, sc.failing = 0.2, 0, 0, failing
	return sc
}

// runBoth runs the scenario with the baseline and with the candidate.
func runBoth(sc scenario) (baseline, candidate *result) {
	candidate = run(sc)
	sc.baseline = true
	return run(sc), candidate
}

// Guards the latency under faults and the goodput and fairness under overload, on
// shorter runs than the benchmarks.
func TestLatencyAndGoodputTargets(t *testing.T) {
	c := qt.New(t)
	sc := faultScenario()
	sc.length = 4 * time.Second
	baseline, candidate := runBoth(sc)
	c.Assert(baseline.quantile(99) > 5*candidate.quantile(99), qt.IsTrue)
	sc = overloadScenario()
	sc.length, sc.entries = 2*time.Second, 12
	candidate = run(sc)
	c.Assert(candidate.goodput() > 0.95, qt.IsTrue)
	c.Assert(candidate.accountSuccessRate(3) > 0.99, qt.IsTrue)
	c.Assert(float64(candidate.attempts) < 1.2*float64(candidate.useful), qt.IsTrue)
	c.Assert(candidate.refusalLatency.Max() < 20*time.Millisecond.Microseconds(), qt.IsTrue)
}

// One target runs at a tenth of its speed and one is unresponsive, at 80% load.
func BenchmarkSlowAndUnresponsive(b *testing.B) {
	for b.Loop() {
		baseline, candidate := runBoth(faultScenario())
		b.ReportMetric(baseline.quantile(99), "baseline-p99-ms")
		b.ReportMetric(candidate.quantile(99), "p99-ms")
		b.ReportMetric(baseline.quantile(99)/candidate.quantile(99), "p99-ratio")
		b.ReportMetric(baseline.quantile(50)/candidate.quantile(50), "p50-ratio")
	}
}

// The load is three times the capacity, 90% of it from one client account.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		baseline, candidate := runBoth(overloadScenario())
		b.ReportMetric(baseline.goodput(), "baseline-useful/capacity")
		b.ReportMetric(candidate.goodput(), "useful/capacity")
		b.ReportMetric(baseline.accountSuccessRate(3), "baseline-light-success")
		b.ReportMetric(candidate.accountSuccessRate(3), "light-success")
		b.ReportMetric(baseline.accountP99(3)/candidate.accountP99(3), "light-p99-ratio")
		b.ReportMetric(float64(candidate.refusalLatency.Max())/1000, "slowest-refusal-ms")
	}
}

// Some targets answer errors at once, and the load is low enough for the others.
func BenchmarkFailingTargets(b *testing.B) {
	for _, failing := range []int{1, 8} {
		b.Run(fmt.Sprint(failing), func(b *testing.B) {
			for b.Loop() {
				baseline, candidate := runBoth(failingScenario(failing))
				b.ReportMetric(baseline.amplification(), "baseline-attempts/request")
				b.ReportMetric(candidate.amplification(), "attempts/request")
				b.ReportMetric(baseline.successRate(), "baseline-success")
				b.ReportMetric(candidate.successRate(), "success")
			}
		})
	}
}

// Compares the kinds of congestion control of the agents at three times the capacity.
func BenchmarkCongestionControl(b *testing.B) {
	for _, entries := range []int{3, 12} {
		for control, name := range []string{"two-phase", "shed-only", "neither"} {
			b.Run(fmt.Sprint(name, "/entries=", entries), func(b *testing.B) {
				for b.Loop() {
					sc := overloadScenario()
					sc.entries, sc.admission.CongestionControl = entries, admission.CongestionControl(control)
					r := run(sc)
					b.ReportMetric(r.goodput(), "useful/capacity")
					b.ReportMetric(float64(r.accountUsefulLatency[0].ValueAtQuantile(50))/1000, "heavy-p50-ms")
					b.ReportMetric(float64(r.accountUsefulLatency[0].ValueAtQuantile(99))/1000, "heavy-p99-ms")
					b.ReportMetric(r.amplification()*float64(r.offered)/float64(r.useful), "attempts/answer")
					b.ReportMetric(r.accountSuccessRate(3), "light-success")
				}
			})
		}
	}
}

// Clients that are refused in an overload of two seconds try again after RetryAfter.
func BenchmarkResubmission(b *testing.B) {
	for b.Loop() {
		sc := overloadScenario()
		sc.length, sc.resubmit = 2*time.Second, true
		r := run(sc)
		b.ReportMetric(r.successRate(), "success")
		b.ReportMetric(float64(r.submissions)/float64(r.offered), "asks/request")
	}
}

// Measures one Pick and its Done on all cores, with the default number of choices and
// with a comparison of all targets.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{11, 300, 3400} {
		for _, choices := range []int{routing.DefaultChoices, n} {
			b.Run(fmt.Sprintf("targets=%d/choices=%d", n, choices), func(b *testing.B) {
				r := routing.New(routing.Options{Choices: choices})
				var ts []routing.Target
				for i := range n {
					ts = append(ts, routing.Target{ID: targetID(i), Slots: slots, MaxInflight: maxInflight})
				}
				r.SetTargets(at(0), ts)
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						runAttempt(r, 0, alwaysAnswered)
					}
				})
			})
		}
	}
}
