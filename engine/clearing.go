package engine

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// clearing is room on a set of workers as it grows while victims are chosen. One is open at
// a time.
type clearing struct {
	r      *round
	u      *unit
	sites  []*clearingSite
	cost   map[*unit]float64
	chosen map[*unit]bool
}

// clearingSite is one worker of a clearing.
type clearingSite struct {
	worker *worker
	room   workload.Resources
	slots  int
	// candidates are units that may be evicted, the cheapest first.
	candidates []*unit
	// way is how one more member would get its room, as far as known.
	way   way
	known bool
}

// way is a way to make room for one more member on one worker.
type way struct {
	victims []*unit
	cost    float64
	ok      bool
}

func (r *round) newClearing(u *unit, set *domain) *clearing {
	c := &clearing{r: r, u: u, cost: map[*unit]float64{}, chosen: map[*unit]bool{}}
	for _, w := range set.workers {
		if r.eligible(u, w) && !w.health.resting(r.now) && r.admits(u, w) {
			w.round.at = len(c.sites)
			c.sites = append(c.sites, c.survey(w))
		}
	}
	return c
}

// close forgets the workers' places in the clearing.
func (c *clearing) close() {
	for _, s := range c.sites {
		s.worker.round.at = -1
	}
}

// survey counts what is free on a worker, or about to be, and who could make room.
func (c *clearing) survey(w *worker) *clearingSite {
	s := &clearingSite{worker: w, room: w.free().Sub(w.round.claimed)}
	for _, p := range w.sortedPlaces() {
		if p.stopping || p.unit.state != unitActive || p.unit.ending() {
			s.room = s.room.Add(p.demand)
			continue
		}
		if c.r.yields(p.unit, c.u) && !slices.Contains(s.candidates, p.unit) {
			s.candidates = append(s.candidates, p.unit)
			c.price(p.unit)
		}
	}
	slices.SortStableFunc(s.candidates, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(c.cost[a], c.cost[b]),
			cmp.Compare(b.job.spec.QueuePolicy.Priority, a.job.spec.QueuePolicy.Priority),
		)
	})
	return s
}

// price notes what evicting a unit throws away; a gang stands on many workers and is
// counted once.
func (c *clearing) price(u *unit) {
	if _, known := c.cost[u]; !known {
		c.cost[u] = c.r.e.waste(c.r.now, u)
	}
}

// next returns the worker on which one more member fits at the least cost, and who has to
// go for it: nil where there is none.
func (c *clearing) next() (*clearingSite, way) {
	var best *clearingSite
	for _, s := range c.sites {
		if !s.known {
			s.way, s.known = c.clear(s), true
		}
		if s.way.ok && (best == nil || s.way.cost < best.way.cost) {
			best = s
		}
	}
	if best == nil {
		return nil, way{}
	}
	return best, best.way
}

// clear finds victims on a worker so that one more member fits: the cheapest first, then
// those that turned out needless are spared, the dearest first.
func (c *clearing) clear(s *clearingSite) way {
	w := s.worker
	if c.r.e.bounded(c.u, w, s.slots+1) < s.slots+1 {
		return way{}
	}
	need, room := c.u.demand(), s.room
	var victims []*unit
	for _, v := range s.candidates {
		if need.FitsIn(room) {
			break
		}
		if c.chosen[v] || !v.mayStop(ofStep(maps.Keys(c.chosen), v)+ofStep(slices.Values(victims), v)) {
			continue
		}
		room = room.Add(held(v, w))
		victims = append(victims, v)
	}
	if !need.FitsIn(room) {
		return way{}
	}
	cost := 0.0
	for i := len(victims) - 1; i >= 0; i-- {
		without := room.Sub(held(victims[i], w))
		if need.FitsIn(without) {
			room = without
			victims = slices.Delete(victims, i, i+1)
			continue
		}
		cost += c.cost[victims[i]]
	}
	return way{victims, cost, true}
}

// ofStep returns how many of the units are of v's step.
func ofStep(units iter.Seq[*unit], v *unit) int {
	if !v.spec().LongRunning {
		return 0 // nothing bounds how many of them may be away
	}
	n := 0
	for o := range units {
		if o.key() == v.key() {
			n++
		}
	}
	return n
}

// take gives a member its room on a worker. A victim gang makes room on all its workers.
func (c *clearing) take(s *clearingSite, w way) {
	for _, v := range w.victims {
		c.chosen[v] = true
		for _, p := range v.places {
			if at := p.worker.round.at; at >= 0 {
				c.sites[at].room = c.sites[at].room.Add(p.demand)
				c.sites[at].known = false
			}
		}
		if v.spec().LongRunning {
			c.forget() // others of its step may not be stopped any more
		}
	}
	s.room = s.room.Sub(c.u.demand())
	s.slots++
	s.known = false
}

// forget makes next look at all workers anew.
func (c *clearing) forget() {
	for _, s := range c.sites {
		s.known = false
	}
}

// held is what a unit holds on one worker.
func held(u *unit, w *worker) workload.Resources {
	var sum workload.Resources
	for _, p := range u.places {
		if p.worker == w {
			sum = sum.Add(p.demand)
		}
	}
	return sum
}
