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

var simCordonSeeds = flag.Int("sim-cordon-seeds", 6, "how many randomised worlds are played with cordoned zones")

// Availability zones are cordoned and opened again, one, two or all of them, while planners die,
// workers crash and drain, agents are cut off and orders come late. Planners hear of it up to a
// second later, a new one may know less than the last, and orders are held up on their way. No
// task may start in a zone that has been cordoned for longer than the news and an order take,
// but by an order that its worker carries out late; when the faults end every job is settled.
func TestRandomWorldsWithCordons(t *testing.T) {
	runWorlds(t, *simCordonSeeds, func(w *simWorld, seed uint64) {
		w.planFaults(faultTime)
		w.planCordons(faultTime)
		w.cordons.delayOrders = true
		if seed%2 == 0 {
			w.reuseNames()
			w.planCrashes(faultTime)
		}
	})
}

const (
	// simCordonDelay is how long a planner may not hear of other cordons, simHoldUp how long an order
	// may be held up. Agents hear with the answer to their next report.
	simCordonDelay   = time.Second
	simMaxOrderDelay = 1500 * time.Millisecond
	// simCordonDeadline is the sum of what may pass until nothing starts any more: the news, once
	// more where the planner changes at that moment, the record, and an order that was held up.
	simCordonDeadline = 2*simCordonDelay + simMaxOrderDelay + 500*time.Millisecond
)

// simCordons are the cordons in force, and what planners know of them.
type simCordons struct {
	since       map[string]time.Duration // by zone
	revision    int64
	known       catalog.Cordons // to the present planner
	previous    catalog.Cordons // what it knew before that
	delayOrders bool            // orders are held up now and then
}

// successorCordons returns what a planner knows that has just taken over: sometimes less
// than the last one, for as long as news take.
func (w *simWorld) successorCordons() catalog.Cordons {
	c := &w.cordons
	if newest := c.known; c.delayOrders && w.rng.IntN(2) == 0 {
		c.known = c.previous
		w.after(time.Duration(w.rng.Int64N(int64(simCordonDelay))), func() { w.updateCordons(newest) })
	}
	return c.known
}

// updateCordons lets the planner updateCordons of cordons.
func (w *simWorld) updateCordons(cordons catalog.Cordons) {
	if cordons.Revision > w.cordons.known.Revision {
		w.cordons.previous, w.cordons.known = w.cordons.known, cordons
		w.engine.HandleEvent(w.now, CordonsChanged{cordons})
	}
}

// planCordons plans when zones are cordoned and opened.
func (w *simWorld) planCordons(end time.Duration) {
	w.cordons.since = map[string]time.Duration{}
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

// setCordon changes a cordon, and lets the planner hear of it later.
func (w *simWorld) setCordon(zone string, on bool) {
	w.cordons.revision++
	w.counts["cordons"]++
	if _, before := w.cordons.since[zone]; !on {
		delete(w.cordons.since, zone)
	} else if !before {
		w.cordons.since[zone] = w.now
	}
	cordons := catalog.Cordons{Zones: slices.Sorted(maps.Keys(w.cordons.since)), Revision: w.cordons.revision}
	w.after(time.Duration(w.rng.Int64N(int64(simCordonDelay))), func() { w.updateCordons(cordons) })
}

// orderLatency is how long an order takes to its agent.
func (w *simWorld) orderLatency() time.Duration {
	if w.cordons.delayOrders && !w.calm && w.rng.IntN(10) == 0 {
		return time.Duration(w.rng.Int64N(int64(simMaxOrderDelay)))
	}
	return w.latency()
}

// updateCordons takes what the planner knew when it answered a report.
func (w *simWorker) updateCordons(known catalog.Cordons) {
	if known.Revision > w.cordons.Revision {
		w.cordons = known
	}
}

// refusesForCordon says whether the agent knows better than the orders.
func (w *simWorld) refusesForCordon(sw *simWorker, o Orders) bool {
	refused := o.CordonsRevision <= sw.cordons.Revision && sw.cordons.Contains(sw.info.Zone)
	if refused {
		w.counts["refused for a cordon"]++
	}
	return refused
}

// checkCordon: nothing starts where a cordon has been in force for longer than its news take.
func (w *simWorld) checkCordon(sw *simWorker, task workload.TaskID) {
	if since, cordoned := w.cordons.since[sw.info.Zone]; cordoned && !w.lateOrder && w.now-since > simCordonDeadline {
		w.violated("start of %s in zone %s, %v after that was cordoned", task, sw.info.Zone, w.now-since)
	}
}
