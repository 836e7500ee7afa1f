package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// simHost simulates a worker on which tasks disturb each other. The latency ratio of its
// latency-sensitive task is baseRatio plus, for each best-effort image, its weight times its
// speed.
type simHost struct {
	rng          *rand.Rand
	phase        float64
	burstEnd     time.Duration // end of a burst of requests to the latency-sensitive task
	weights      map[string]float64
	speeds       map[workload.RunID]int
	recentRatios []float64 // latency ratios of the last half second
	violation    time.Duration
	// Totals of the simulation.
	workTime, totalTime, violationTime, longestViolation time.Duration
}

// baseRatio returns the latency ratio without best-effort runs.
func (h *simHost) baseRatio(now time.Duration) float64 {
	if h.rng.IntN(1500) == 0 {
		h.burstEnd = now + time.Duration(1+h.rng.IntN(3))*time.Second
	}
	load := 0.4 + 0.15*math.Sin(h.phase+now.Seconds()/5)
	if now < h.burstEnd {
		load += 0.25
	}
	return load
}

// advance simulates a time step with the given best-effort runs and their images.
func (h *simHost) advance(now, by time.Duration, images map[workload.RunID]string) {
	base := h.baseRatio(now)
	ratio := base
	totalPace := 0.0
	for run, image := range images {
		pace := float64(h.speeds[run]) / fullPace
		ratio += h.weights[image] * pace
		totalPace += pace
	}
	h.workTime += time.Duration(totalPace * float64(by))
	h.totalTime += by
	h.recentRatios = append(h.recentRatios, ratio)
	if len(h.recentRatios) > 10 {
		h.recentRatios = h.recentRatios[1:]
	}
	if ratio <= 1 {
		h.violation = 0
		return
	}
	h.violationTime += by
	if base <= 1 && totalPace > 0 {
		h.violation += by
		h.longestViolation = max(h.longestViolation, h.violation)
	}
}

// reportedRatio returns the noisy average of the last half second, as the worker reports it.
func (h *simHost) reportedRatio() float64 {
	sum := 0.0
	for _, ratio := range h.recentRatios {
		sum += ratio
	}
	return sum / float64(len(h.recentRatios)) * (0.92 + 0.16*h.rng.Float64())
}

// simulateHost simulates two minutes of a worker with one latency-sensitive and three
// best-effort tasks. fixedPace sets the limit of the latter; if it is negative, the engine
// does.
func simulateHost(t *testing.T, seed uint64, fixedPace int) *simHost {
	h := &simHost{rng: rand.New(rand.NewPCG(seed, 11)), speeds: map[workload.RunID]int{}, weights: map[string]float64{}}
	h.phase = 6 * h.rng.Float64()
	d := newDriver(t, 1)
	d.submit(1, "", latencySensitiveStep(1))
	d.settle()
	for i, weight := range []float64{0.1, 0.4, 1.0} {
		s := bestEffortStep(1)
		s.Image = fmt.Sprint("best-effort", i)
		s.Estimate = time.Hour
		h.weights[s.Image] = weight * (0.7 + 0.6*h.rng.Float64())
		d.submit(2, "", s)
	}
	d.settle()
	const step = 50 * time.Millisecond
	for end := d.now + 2*time.Minute; d.now < end; d.now += step {
		w := d.e.workers["w0"]
		images := map[workload.RunID]string{}
		for _, p := range w.sortedPlacements() {
			if p.unit.spec().BestEffortCPU {
				images[p.runID()] = p.unit.spec().Image
			}
		}
		if d.now%(100*time.Millisecond) == 0 {
			h.applyPaces(d, images, fixedPace) // orders take effect within 100 ms
		}
		h.advance(d.now, step, images)
		if d.now%(450*time.Millisecond) == 0 {
			d.report(d.pollReport(w, h.reportedRatio()))
		}
		d.tick()
	}
	return h
}

// applyPaces sets the speeds to fixedPace, or to the limits ordered by the engine.
func (h *simHost) applyPaces(d *driver, images map[workload.RunID]string, fixedPace int) {
	for run := range images {
		if _, known := h.speeds[run]; !known {
			h.speeds[run] = fullPace
		}
		if fixedPace >= 0 {
			h.speeds[run] = fixedPace
		}
	}
	if fixedPace < 0 {
		for _, p := range d.paces {
			h.speeds[p.Run] = p.Percent
		}
	}
	d.paces = nil
}

// Compares the engine's speed control with never running best-effort tasks and with running
// them at full speed: it must do most of the work, hardly ever exceed the target, and never for
// as long as MaxLatencyViolation.
func TestPaceControlAgainstBaselines(t *testing.T) {
	const seeds = 20
	type sum struct{ worked, overTime, longest float64 }
	simulate := func(fixedPace int) sum {
		var s sum
		for seed := range uint64(seeds) {
			h := simulateHost(t, seed, fixedPace)
			s.worked += h.workTime.Seconds() / h.totalTime.Seconds() / seeds
			s.overTime += h.violationTime.Seconds() / h.totalTime.Seconds() / seeds
			s.longest = max(s.longest, h.longestViolation.Seconds())
		}
		return s
	}
	paused, full, controlled := simulate(0), simulate(100), simulate(-1)
	for _, row := range []struct {
		name string
		sum  sum
	}{{"paused", paused}, {"full speed", full}, {"controlled", controlled}} {
		t.Logf("%-10s work of %.2f tasks, %.3f of the time over the target, longest violation %.2f s", row.name, row.sum.worked, row.sum.overTime, row.sum.longest)
	}
	c := qt.New(t)
	c.Check(controlled.longest < 4, qt.IsTrue)
	c.Check(controlled.overTime < 0.05, qt.IsTrue)
	c.Check(controlled.worked > 0.5, qt.IsTrue)
	c.Check(full.overTime > 10*controlled.overTime, qt.IsTrue)
}
