package workerspeed

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"
)

const (
	benchWorkers = 17_000
	// benchInterval is the time between two observations if each worker ends a run every 8 s.
	benchInterval = 8 * time.Second / benchWorkers
)

// benchLoad returns observations of units of a size, in the order in which they are observed: runs
// of 400 groups are interleaved, each group has a number of units, and its end follows its last.
type benchLoad struct {
	observations []Observation
	ends         []bool
}

func newBenchLoad(units, size int) *benchLoad {
	rng := rand.New(rand.NewPCG(1, 1))
	names := make([]string, benchWorkers)
	speed := make([]float64, benchWorkers)
	for i := range names {
		names[i] = fmt.Sprintf("worker-%05d", i)
		speed[i] = 0.7
		if i%3 == 2 {
			speed[i] = 1.7
		}
	}
	l := &benchLoad{}
	type open struct {
		id   GroupID
		left int
	}
	groups := make([]open, 400)
	jobs := 0
	for len(l.observations) < 200_000 {
		g := &groups[rng.IntN(len(groups))]
		if g.left == 0 {
			jobs++
			*g = open{GroupID{Job: fmt.Sprintf("job-%07d", jobs)}, units}
		}
		g.left--
		o := Observation{Pool: "service", Group: g.id, Queue: "queue", Declared: 8 * time.Second}
		slowest := 0.0
		for len(o.Workers) < size {
			i := rng.IntN(benchWorkers)
			o.Workers = append(o.Workers, names[i])
			slowest = max(slowest, speed[i])
		}
		o.Took = seconds(8 * slowest * (1 + 0.15*rng.NormFloat64()*0.5))
		l.observations = append(l.observations, o)
		l.ends = append(l.ends, g.left == 0)
	}
	return l
}

// run observes n units.
func (l *benchLoad) run(m *Model, now time.Duration, n int) time.Duration {
	for i := range n {
		k := i % len(l.observations)
		o := &l.observations[k]
		now += benchInterval * time.Duration(len(o.Workers))
		m.Observe(now, *o)
		if l.ends[k] {
			m.EndGroup(o.Group)
		}
	}
	return now
}

// BenchmarkObserve measures an observation among 17,000 workers of two speeds, with its part of
// the refreshes of the pool. The limit is 1 µs without allocation.
func BenchmarkObserve(b *testing.B) {
	for _, load := range []struct {
		name        string
		units, size int
	}{{"task of a step of 39", 39, 1}, {"gang of 8", 1, 8}} {
		b.Run(load.name, func(b *testing.B) {
			l, m := newBenchLoad(load.units, load.size), New()
			now := l.run(m, 0, len(l.observations))
			if !m.Differ("service") && load.size == 1 {
				b.Fatal("the workers do not differ")
			}
			b.ReportAllocs()
			b.ResetTimer()
			start := cpuTime(b)
			l.run(m, now, b.N)
			reportCPU(b, start)
		})
	}
}

// BenchmarkEstimate measures an estimate among 17,000 workers, with all estimates of a decision at
// the same time.
func BenchmarkEstimate(b *testing.B) {
	l, m := newBenchLoad(39, 1), New()
	now := l.run(m, 0, len(l.observations))
	names := make([]string, 1024)
	for i := range names {
		names[i] = l.observations[i].Workers[0]
	}
	b.ReportAllocs()
	b.ResetTimer()
	start := cpuTime(b)
	for i := range b.N {
		m.Estimate(now, names[i%len(names)])
	}
	reportCPU(b, start)
}

// BenchmarkRefresh measures the statistics of a pool of 17,000 workers. They are computed at most
// every 250 ms.
func BenchmarkRefresh(b *testing.B) {
	l, m := newBenchLoad(39, 1), New()
	now := l.run(m, 0, len(l.observations))
	p := m.pools["service"]
	b.ReportAllocs()
	b.ResetTimer()
	start := cpuTime(b)
	for i := range b.N {
		p.refresh(now + time.Duration(i)*time.Millisecond)
	}
	reportCPU(b, start)
}

// cpuTime returns the processor time used by the process. Unlike the time of the benchmark, it does
// not depend on what else the machine does.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func reportCPU(b *testing.B, start time.Duration) {
	b.ReportMetric(float64(cpuTime(b)-start)/float64(b.N), "cpu-ns/op")
}
