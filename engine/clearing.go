package engine

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// clearing is room on a set of workers as it grows while victims are chosen.
type clearing struct {
	r     *round
	u     *unit
	set   []*worker
	room  map[*worker]workload.Resources
	slots map[*worker]int
	// victims are units that may be evicted, by worker, the cheapest first.
	victims map[*worker][]*unit
	cost    map[*unit]float64
	chosen  map[*unit]bool
}

func (r *round) newClearing(u *unit, set []*worker) *clearing {
	c := &clearing{
		r: r, u: u,
		room:    map[*worker]workload.Resources{},
		slots:   map[*worker]int{},
		victims: map[*worker][]*unit{},
		cost:    map[*unit]float64{},
		chosen:  map[*unit]bool{},
	}
	for _, w := range set {
		if r.eligible(u, w) && !w.health.resting(r.now) {
			c.set = append(c.set, w)
			c.survey(w)
		}
	}
	return c
}

// survey counts what is free on a worker, or about to be, and who could make room.
func (c *clearing) survey(w *worker) {
	room := w.free().Sub(c.r.claimed[w])
	for _, p := range w.sortedPlaces() {
		if p.stopping || p.unit.state != unitActive || p.unit.ending() {
			room = room.Add(p.demand)
			continue
		}
		if c.r.yields(p.unit, c.u) && !slices.Contains(c.victims[w], p.unit) {
			c.victims[w] = append(c.victims[w], p.unit)
			c.cost[p.unit] = c.r.e.waste(c.r.now, p.unit)
		}
	}
	c.room[w] = room
	slices.SortStableFunc(c.victims[w], func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(c.cost[a], c.cost[b]),
			cmp.Compare(b.job.spec.Terms.Priority, a.job.spec.Terms.Priority),
		)
	})
}

// next returns the worker on which one more member fits at the least cost, and who has
// to go for it: nil where there is none.
func (c *clearing) next() (best *worker, victims []*unit, cost float64) {
	for _, w := range c.set {
		v, price, ok := c.clear(w)
		if ok && (best == nil || price < cost) {
			best, victims, cost = w, v, price
		}
	}
	return best, victims, cost
}

// clear finds victims on w so that one more member fits: the cheapest first, then those
// that turned out needless are spared, the dearest first.
func (c *clearing) clear(w *worker) (victims []*unit, cost float64, ok bool) {
	if c.r.e.bounded(c.u, w, c.slots[w]+1) < c.slots[w]+1 {
		return nil, 0, false
	}
	need := c.u.demand()
	room := c.room[w]
	for _, v := range c.victims[w] {
		if need.Within(room) {
			break
		}
		if c.chosen[v] || !v.mayStop(ofStep(maps.Keys(c.chosen), v)+ofStep(slices.Values(victims), v)) {
			continue
		}
		room = room.Add(held(v, w))
		victims = append(victims, v)
	}
	if !need.Within(room) {
		return nil, 0, false
	}
	for i := len(victims) - 1; i >= 0; i-- {
		without := room.Sub(held(victims[i], w))
		if need.Within(without) {
			room = without
			victims = slices.Delete(victims, i, i+1)
			continue
		}
		cost += c.cost[victims[i]]
	}
	return victims, cost, true
}

// ofStep returns how many of the units are of v's step.
func ofStep(units iter.Seq[*unit], v *unit) int {
	n := 0
	for o := range units {
		if o.key() == v.key() {
			n++
		}
	}
	return n
}

// take gives a member its room on w. A victim gang makes room on all its workers.
func (c *clearing) take(w *worker, victims []*unit) {
	for _, v := range victims {
		c.chosen[v] = true
		for _, p := range v.places {
			if have, ok := c.room[p.worker]; ok {
				c.room[p.worker] = have.Add(p.demand)
			}
		}
	}
	c.room[w] = c.room[w].Sub(c.u.demand())
	c.slots[w]++
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
