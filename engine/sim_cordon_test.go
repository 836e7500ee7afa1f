package engine

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

var simCordonSeeds = flag.Int("sim-cordon-seeds", 6, "number of random worlds with cordoned zones")

// Guards against starts in a zone that has been cordoned for longer than simCordonDeadline, while
// planners change, orders are delayed and the faults of planFaults occur.
func TestSimulationWithCordons(t *testing.T) {
	runSimulations(t, *simCordonSeeds, planCordonFaults)
}

func planCordonFaults(w *simCluster, seed uint64) {
	w.planFaults(faultTime)
	w.planCordons(faultTime)
	w.cordons.delayOrders = true
	if seed%2 == 0 {
		w.reuseNames()
		w.planCrashes(faultTime)
	}
}

const (
	// simCordonDelay is the longest time until a planner learns of a change of cordons,
	// simMaxOrderDelay the longest delay of an order. Agents learn it from their next report.
	simCordonDelay   = time.Second
	simMaxOrderDelay = 1500 * time.Millisecond
	// simCordonDeadline is the longest time until starts cease: the delay of the change, again
	// after a takeover, the write of the placement, and the delay of the order.
	simCordonDeadline = 2*simCordonDelay + simMaxOrderDelay + 500*time.Millisecond
)

// simCordons holds the actual cordons and those that planners know.
type simCordons struct {
	cordonedSince map[string]time.Duration // by zone
	revision      int64
	known         catalog.Cordons // by the current planner
	previous      catalog.Cordons // by the current planner before the last change
	delayOrders   bool            // delay some orders
}

// successorCordons returns what a new planner knows at first, which may be less than its
// predecessor knew.
func (w *simCluster) successorCordons() catalog.Cordons {
	c := &w.cordons
	if newest := c.known; c.delayOrders && w.rng.IntN(2) == 0 {
		c.known = c.previous
		w.after(time.Duration(w.rng.Int64N(int64(simCordonDelay))), func() { w.updateCordons(newest) })
	}
	return c.known
}

// updateCordons passes newer cordons to the planner.
func (w *simCluster) updateCordons(cordons catalog.Cordons) {
	if cordons.Revision > w.cordons.known.Revision {
		w.cordons.previous, w.cordons.known = w.cordons.known, cordons
		w.engine.Step(w.now, CordonsChanged{cordons})
	}
}

// planCordons schedules the changes of cordons.
func (w *simCluster) planCordons(end time.Duration) {
	w.cordons.cordonedSince = map[string]time.Duration{}
	for range 4 + w.rng.IntN(8) {
		at := time.Duration(w.rng.Int64N(int64(end)))
		duration := time.Duration(500+w.rng.IntN(8000)) * time.Millisecond
		for _, z := range w.rng.Perm(3)[:1+w.rng.IntN(3)] {
			zone := fmt.Sprint("z", z)
			w.events = append(w.events, simEvent{at, func() { w.setCordon(zone, true) }})
			w.events = append(w.events, simEvent{at + duration, func() { w.setCordon(zone, false) }})
		}
	}
}

// setCordon changes a cordon and informs the planner after a delay.
func (w *simCluster) setCordon(zone string, on bool) {
	w.cordons.revision++
	w.counts["cordon changes"]++
	if _, before := w.cordons.cordonedSince[zone]; !on {
		delete(w.cordons.cordonedSince, zone)
	} else if !before {
		w.cordons.cordonedSince[zone] = w.now
	}
	cordons := catalog.Cordons{Zones: slices.Sorted(maps.Keys(w.cordons.cordonedSince)), Revision: w.cordons.revision}
	w.after(time.Duration(w.rng.Int64N(int64(simCordonDelay))), func() { w.updateCordons(cordons) })
}

// orderLatency returns the time until an order reaches its agent.
func (w *simCluster) orderLatency() time.Duration {
	if w.cordons.delayOrders && !w.faultsEnded && w.rng.IntN(10) == 0 {
		return time.Duration(w.rng.Int64N(int64(simMaxOrderDelay)))
	}
	return w.latency()
}

// updateCordons stores the cordons that the planner knew when it answered a report.
func (w *simWorker) updateCordons(known catalog.Cordons) {
	if known.Revision > w.cordons.Revision {
		w.cordons = known
	}
}

// refusesForCordon reports whether the agent knows of a cordon that the orders do not account
// for.
func (w *simCluster) refusesForCordon(sw *simWorker, o Orders) bool {
	refused := o.CordonsRevision <= sw.cordons.Revision && sw.cordons.Contains(sw.info.Zone)
	if refused {
		w.counts["refused for a cordon"]++
	}
	return refused
}

// checkCordon checks that nothing starts in a zone that was cordoned longer ago than
// simCordonDeadline.
func (w *simCluster) checkCordon(sw *simWorker, task workload.TaskID) {
	if since, cordoned := w.cordons.cordonedSince[sw.info.Zone]; cordoned && !w.executingLateOrder && w.now-since > simCordonDeadline {
		w.reportViolation("start of %s in zone %s, %v after the zone was cordoned", task, sw.info.Zone, w.now-since)
	}
}
