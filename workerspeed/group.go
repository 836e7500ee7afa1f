package workerspeed

import (
	"container/list"
	"math"
	"time"
)

// maxGroups bounds the groups that are remembered; the oldest are dropped first. A job that never
// ends would keep its groups forever.
const maxGroups = 8192

// maxGroupWorkers bounds the workers that are remembered of a group. They are a random sample, since
// the runs that end first are the shortest.
const maxGroupWorkers = 64

// group holds the runs of one group.
type group struct {
	id       GroupID
	declared bool // its declaration has been counted
	// compared means that a run has been compared with the declaration.
	compared bool
	workers  []groupWorker
	// seen is the number of workers so far, and random the state of the generator that chooses those
	// to remember.
	seen, random uint64
	// gangs is the number of gang runs, gangSum the sum of their logarithms and gangEffects that of
	// the effects of their slowest workers.
	gangs, gangSum, gangEffects float64
}

// groupWorker is the runs of a group on one worker.
type groupWorker struct {
	worker *worker
	runs   float64
	sum    float64 // of the logarithms of the run times
}

// add records a run on a single worker, or of a gang if that is nil.
func (g *group) add(w *worker, took, slowest float64) {
	if w == nil {
		g.gangs++
		g.gangSum += took
		g.gangEffects += slowest
		return
	}
	for i := range g.workers {
		if g.workers[i].worker == w {
			g.workers[i].runs++
			g.workers[i].sum += took
			return
		}
	}
	g.seen++
	if len(g.workers) < maxGroupWorkers {
		g.workers = append(g.workers, groupWorker{w, 1, took})
		return
	}
	// Reservoir sampling: the worker is kept with the probability maxGroupWorkers/seen.
	g.random = g.random*6364136223846793005 + 1442695040888963407
	if i := (g.random >> 33) % g.seen; i < maxGroupWorkers {
		g.workers[i] = groupWorker{w, 1, took}
	}
}

// all returns the mean of the logarithms of the group's run times on single workers, and their
// number.
func (g *group) all() (mean, runs float64) {
	sum := 0.0
	for i := range g.workers {
		sum += g.workers[i].sum
		runs += g.workers[i].runs
	}
	return sum / max(runs, 1), runs
}

// on returns the mean of the logarithms of the group's run times on w, and their number.
func (g *group) on(w *worker) (mean, runs float64) {
	for i := range g.workers {
		if g.workers[i].worker == w {
			return g.workers[i].sum / g.workers[i].runs, g.workers[i].runs
		}
	}
	return 0, 0
}

// base is the estimated logarithm of a group's run time on an average worker.
type base struct {
	normal
	known bool
	// declared means that the declaration determines most of the estimate.
	declared bool
}

// base estimates the base from the declaration and from runs on workers other than excluded. With
// effects, the workers may differ; without, they are equal.
func (g *group) base(runs *runStats, declared time.Duration, excluded *worker, effects bool) base {
	sum, precision, declaredPrecision := 0.0, 0.0, 0.0
	noise, declarations := runs.noise.variance(), &runs.declarations
	if declared > 0 && declarations.Count >= minDeclarations {
		precision = 1 / max(declarations.variance()-noise, minDeclarationVariance)
		declaredPrecision = precision
		sum = precision * (math.Log(declared.Seconds()) + declarations.Mean)
	}
	for i := range g.workers {
		o := &g.workers[i]
		if o.worker == excluded {
			continue
		}
		mean, variance := o.sum/o.runs, noise/o.runs
		if effects {
			mean -= o.worker.effect()
			variance += o.worker.variance()
		}
		sum += mean / variance
		precision += 1 / variance
	}
	if g.gangs > 0 {
		mean := g.gangSum
		if effects {
			mean -= g.gangEffects
		}
		sum += mean / noise
		precision += g.gangs / noise
	}
	if precision <= 0 {
		return base{}
	}
	return base{normal{sum / precision, 1 / precision}, true, 2*declaredPrecision > precision}
}

// groupTable holds a bounded number of groups.
type groupTable struct {
	groups map[GroupID]*list.Element // of order
	order  *list.List                // of *group, the oldest first
}

func newGroupTable() groupTable {
	return groupTable{groups: map[GroupID]*list.Element{}, order: list.New()}
}

func (t *groupTable) get(id GroupID) *group {
	if element := t.groups[id]; element != nil {
		return element.Value.(*group)
	}
	g := &group{id: id}
	t.groups[id] = t.order.PushBack(g)
	if len(t.groups) > maxGroups {
		t.remove(t.order.Front().Value.(*group).id)
	}
	return g
}

func (t *groupTable) remove(id GroupID) {
	if element := t.groups[id]; element != nil {
		t.order.Remove(element)
		delete(t.groups, id)
	}
}
