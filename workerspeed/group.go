package workerspeed

// maxGroups bounds the groups that are remembered; the oldest are dropped first. A job that never
// ends would keep its groups forever.
const maxGroups = 8192

// maxGroupWorkers bounds the workers that are remembered of a group. The base of a group does not
// get better by more.
const maxGroupWorkers = 32

// group holds the runs of one group.
type group struct {
	observed bool
	workers  []groupWorker
	// gangs and gangSum are the number of gang runs and the sum of their logarithms, less the
	// effect of the slowest worker.
	gangs   float64
	gangSum float64
}

// groupWorker is the runs of a group on one worker.
type groupWorker struct {
	worker *worker
	runs   float64
	sum    float64 // of the logarithms of the run times
}

func (g *group) add(w *worker, took float64) {
	for i := range g.workers {
		if g.workers[i].worker == w {
			g.workers[i].runs++
			g.workers[i].sum += took
			return
		}
	}
	if len(g.workers) < maxGroupWorkers {
		g.workers = append(g.workers, groupWorker{w, 1, took})
	}
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

func (g *group) addGang(base float64) {
	g.gangs++
	g.gangSum += base
}

// others estimates the base from runs on workers other than w. It returns the weighted sum and
// the total weight.
func (g *group) others(w *worker, noise float64) (sum, precision float64) {
	for i := range g.workers {
		o := &g.workers[i]
		if o.worker == w {
			continue
		}
		p := 1 / (noise/o.runs + o.worker.variance())
		sum += p * (o.sum/o.runs - o.worker.effect())
		precision += p
	}
	if g.gangs > 0 {
		p := g.gangs / noise
		sum += p * g.gangSum / g.gangs
		precision += p
	}
	return sum, precision
}

// groupTable holds a bounded number of groups in the order of their first run.
type groupTable struct {
	groups map[GroupID]*group
	order  []GroupID
	next   int // index in order of the next one to replace
}

func newGroupTable() groupTable { return groupTable{groups: map[GroupID]*group{}} }

func (t *groupTable) get(id GroupID) *group {
	g := t.groups[id]
	if g != nil {
		return g
	}
	g = &group{}
	t.groups[id] = g
	if len(t.order) < maxGroups {
		t.order = append(t.order, id)
		return g
	}
	delete(t.groups, t.order[t.next])
	t.order[t.next] = id
	t.next = (t.next + 1) % maxGroups
	return g
}

func (t *groupTable) remove(id GroupID) { delete(t.groups, id) }
