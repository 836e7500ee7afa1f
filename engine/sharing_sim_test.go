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

// simHost is a worker on which tasks disturb each other. Its serving task is at base
// of its target by itself, which changes within seconds; each image that fills adds its
// own weight at full speed.
type simHost struct {
	rng          *rand.Rand
	phase        float64
	burstEnd     time.Duration // end of a burst of the serving task's users
	weights      map[string]float64
	speeds       map[workload.RunID]int
	recentRatios []float64 // strain of the last half second
	violation    time.Duration
	// What is measured.
	workTime, totalTime, violationTime, longestViolation time.Duration
}

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

// advance lets time advance with runs of the given images.
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

// reportedRatio is what the worker reports of the last half second: rough.
func (h *simHost) reportedRatio() float64 {
	sum := 0.0
	for _, s := range h.recentRatios {
		sum += s
	}
	return sum / float64(len(h.recentRatios)) * (0.92 + 0.16*h.rng.Float64())
}

// simulateHost plays two minutes of a worker on which a task serves users and three others
// fill. fixed sets the speed of these; below 0 the engine does.
func simulateHost(t *testing.T, seed uint64, fixedPace int) *simHost {
	h := &simHost{rng: rand.New(rand.NewPCG(seed, 11)), speeds: map[workload.RunID]int{}, weights: map[string]float64{}}
	h.phase = 6 * h.rng.Float64()
	d := newDriver(t, 1)
	d.submit(1, "", latencySensitiveStep(1))
	d.settle()
	for i, weight := range []float64{0.1, 0.4, 1.0} {
		s := bestEffortStep(1)
		s.Image = fmt.Sprint("fills", i)
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
			h.applyPaces(d, images, fixedPace) // orders take a tenth of a second
		}
		h.advance(d.now, step, images)
		if d.now%(450*time.Millisecond) == 0 {
			d.report(d.pollReport(w, h.reportedRatio()))
		}
		d.tick()
	}
	return h
}

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

// Tasks that fill share a worker with one that serves users, whose load changes within
// seconds. Beside two baselines, never to fill and to fill at full speed: most of the
// work that could be done must be done, with the target kept nearly all of the time and
// never missed for as long as counts as harm.
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
	}{{"never", paused}, {"full speed", full}, {"held back", controlled}} {
		t.Logf("%-10s work of %.2f tasks, %.3f of the time over the target, longest %.2f s", row.name, row.sum.worked, row.sum.overTime, row.sum.longest)
	}
	c := qt.New(t)
	c.Check(controlled.longest < 4, qt.IsTrue)
	c.Check(controlled.overTime < 0.05, qt.IsTrue)
	c.Check(controlled.worked > 0.5, qt.IsTrue)
	c.Check(full.overTime > 10*controlled.overTime, qt.IsTrue)
}
