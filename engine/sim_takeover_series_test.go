package engine

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

var simSeriesSeeds = flag.Int("sim-series-seeds", 3, "number of random worlds with takeovers in series")

// Guards against tasks that wait anew for the lease of a silent worker after each takeover, and against tasks
// that run twice because a deposed planner goes on granting leases.
func TestSimulationWithTakeoversInSeries(t *testing.T) {
	runSimulations(t, *simSeriesSeeds, planTakeoverSeries)
}

// Guards against the same while crashed workers return under their names.
func TestSimulationWithTakeoversInSeriesAndReusedNames(t *testing.T) {
	runSimulations(t, *simSeriesSeeds, func(w *simCluster, seed uint64) {
		w.reuseNames()
		planTakeoverSeries(w, seed)
		w.planCrashes(faultTime)
		w.planAgentRestarts(faultTime)
	})
}

// Guards against tasks that run twice because a deposed planner grants the lease of a worker that was silent,
// so that its successor relies on a record of an earlier end.
func TestSimulationWithReturnsToDeposedPlanners(t *testing.T) {
	runSimulations(t, *simSeriesSeeds, func(w *simCluster, seed uint64) {
		if seed%2 == 0 {
			w.reuseNames()
		}
		planTakeoverSeries(w, seed)
		w.series.returns = true
		w.planSilencesBeforeTakeovers()
	})
}

func planTakeoverSeries(w *simCluster, _ uint64) {
	w.series = newSimSeries()
	for at := w.randomTime(0, 5*time.Second); at < faultTime; at += w.randomTime(4*time.Second, 15*time.Second) {
		from := at
		at = w.planSeries(from)
		w.planSilences(from, at)
	}
	for range w.rng.IntN(4) {
		d := w.randomTime(200*time.Millisecond, 2*time.Second)
		w.events = append(w.events, simEvent{w.randomTime(0, faultTime), func() {
			w.storeDown = true
			w.after(d, func() { w.storeDown = false })
		}})
	}
	for range w.rng.IntN(3) {
		i := w.rng.IntN(len(w.workers))
		w.events = append(w.events, simEvent{w.randomTime(0, faultTime), func() { w.crash(i) }})
	}
	for range w.rng.IntN(3) {
		i := w.rng.IntN(len(w.workers))
		w.events = append(w.events, simEvent{w.randomTime(0, faultTime), func() { w.drain(i) }})
	}
	w.planLongTasks(faultTime)
}

// randomTime returns a time from low to high.
func (w *simCluster) randomTime(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)/int64(time.Millisecond)))*time.Millisecond
}

// planSeries schedules takeovers in series, each within a lease of the one before, and returns the time of the
// last one.
func (w *simCluster) planSeries(at time.Duration) time.Duration {
	longest := []time.Duration{900 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second}[w.rng.IntN(3)]
	for range 2 + w.rng.IntN(6) {
		if at += w.randomTime(simMinTerm, longest); at >= faultTime {
			break
		}
		if w.rng.IntN(2) == 0 {
			w.events = append(w.events, simEvent{at, w.takeOverWhenServed})
			continue
		}
		vacancy := w.randomTime(10*time.Millisecond, 1500*time.Millisecond)
		w.events = append(w.events, simEvent{at, func() { w.series.vacant = true }}, simEvent{at + vacancy, w.takeOverWhenServed})
		at += vacancy
	}
	return at
}

// simMinTerm is the shortest time between takeovers in a series: a planner that loads the records and is
// replaced at once.
const simMinTerm = 200 * time.Millisecond

// planSilences schedules the silences of some workers during a series, some of them for good.
func (w *simCluster) planSilences(from, to time.Duration) {
	for range 1 + w.rng.IntN(4) {
		i, at := w.rng.IntN(len(w.workers)), w.randomTime(max(0, from-2*time.Second), to)
		d := w.randomTime(time.Second, 15*time.Second)
		if w.rng.IntN(2) == 0 {
			d = faultTime // endFaults ends it
		}
		w.events = append(w.events, simEvent{at, func() { w.disconnect(i, d) }})
	}
}

// planSilencesBeforeTakeovers schedules silences that are recorded before a planner is deposed and end while the
// lease has not.
func (w *simCluster) planSilencesBeforeTakeovers() {
	for at := w.randomTime(2*time.Second, 5*time.Second); at < faultTime; at += w.randomTime(6*time.Second, 12*time.Second) {
		w.events = append(w.events, simEvent{at, w.takeOverWhenServed})
		for range 2 {
			i := w.rng.IntN(len(w.workers))
			w.events = append(w.events, simEvent{at - 1700*time.Millisecond, func() { w.disconnect(i, faultTime) }})
		}
	}
}

// planLongTasks schedules submissions of small tasks that run until the lease of a silent worker ends.
func (w *simCluster) planLongTasks(end time.Duration) {
	for at := 50 * time.Millisecond; at < end; at += w.randomTime(300*time.Millisecond, 1500*time.Millisecond) {
		j := &workload.Job{
			ID: workload.JobID(fmt.Sprintf("long%04d", len(w.events))), Queue: "long", Account: "big", Service: "s",
			QueuePolicy: workload.QueuePolicy{Priority: 2, MaxAttempts: 4, Stretch: 3, TargetLatency: time.Second},
			Steps: []workload.Step{{
				Count:    1 + w.rng.IntN(4),
				Need:     workload.Resources{MilliCPU: 1000, MemoryMB: 1000},
				Estimate: w.randomTime(6*time.Second, 20*time.Second),
			}},
		}
		w.events = append(w.events, simEvent{at, func() { w.submit(j, 0) }})
	}
}
