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
func TestRandomWorldsWithCordonedZones(t *testing.T) {
	playWorlds(t, *simCordonSeeds, func(w *simWorld, seed uint64) {
		w.faults(faultTime)
		w.cordonZones(faultTime)
		w.cordons.holdUp = true
		if seed%2 == 0 {
			w.nameWorkers()
			w.crashMany(faultTime)
		}
	})
}

const (
	// simNews is how long a planner may not hear of other cordons, simHoldUp how long an order
	// may be held up. Agents hear with the answer to their next report.
	simNews   = time.Second
	simHoldUp = 1500 * time.Millisecond
	// simCordonWithin is the sum of what may pass until nothing starts any more: the news, once
	// more where the planner changes at that moment, the record, and an order that was held up.
	simCordonWithin = 2*simNews + simHoldUp + 500*time.Millisecond
)

// simCordons are the cordons in force, and what planners know of them.
type simCordons struct {
	since    map[string]time.Duration // by zone
	revision int64
	told     catalog.Cordons // to the present planner
	before   catalog.Cordons // what it knew before that
	holdUp   bool            // orders are held up now and then
}

// cordonsOfSuccessor returns what a planner knows that has just taken over: sometimes less
// than the last one, for as long as news take.
func (w *simWorld) cordonsOfSuccessor() catalog.Cordons {
	c := &w.cordons
	if newest := c.told; c.holdUp && w.rng.IntN(2) == 0 {
		c.told = c.before
		w.after(time.Duration(w.rng.Int64N(int64(simNews))), func() { w.hear(newest) })
	}
	return c.told
}

// hear lets the planner hear of cordons.
func (w *simWorld) hear(news catalog.Cordons) {
	if news.Revision > w.cordons.told.Revision {
		w.cordons.before, w.cordons.told = w.cordons.told, news
		w.engine.HandleEvent(w.now, CordonsChanged{news})
	}
}

// cordonZones plans when zones are cordoned and opened.
func (w *simWorld) cordonZones(end time.Duration) {
	w.cordons.since = map[string]time.Duration{}
	for range 4 + w.rng.IntN(8) {
		at := time.Duration(w.rng.Int64N(int64(end)))
		d := time.Duration(500+w.rng.IntN(8000)) * time.Millisecond
		for _, z := range w.rng.Perm(3)[:1+w.rng.IntN(3)] {
			zone := fmt.Sprint("z", z)
			w.events = append(w.events, simEvent{at, func() { w.setCordon(zone, true) }})
			w.events = append(w.events, simEvent{at + d, func() { w.setCordon(zone, false) }})
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
	news := catalog.Cordons{Zones: slices.Sorted(maps.Keys(w.cordons.since)), Revision: w.cordons.revision}
	w.after(time.Duration(w.rng.Int64N(int64(simNews))), func() { w.hear(news) })
}

// transit is how long an order takes to its agent.
func (w *simWorld) transit() time.Duration {
	if w.cordons.holdUp && !w.calm && w.rng.IntN(10) == 0 {
		return time.Duration(w.rng.Int64N(int64(simHoldUp)))
	}
	return w.latency()
}

// hearCordons takes what the planner knew when it answered a report.
func (w *simWorker) hearCordons(told catalog.Cordons) {
	if told.Revision > w.cordons.Revision {
		w.cordons = told
	}
}

// refusesCordoned says whether the agent knows better than the orders.
func (w *simWorld) refusesCordoned(sw *simWorker, o Orders) bool {
	refused := o.CordonsRevision <= sw.cordons.Revision && sw.cordons.Contains(sw.info.Zone)
	if refused {
		w.counts["refused for a cordon"]++
	}
	return refused
}

// checkCordon: nothing starts where a cordon has been in force for longer than its news take.
func (w *simWorld) checkCordon(sw *simWorker, task workload.TaskID) {
	if since, cordoned := w.cordons.since[sw.info.Zone]; cordoned && !w.late && w.now-since > simCordonWithin {
		w.violated("start of %s in zone %s, %v after that was cordoned", task, sw.info.Zone, w.now-since)
	}
}
