package workerspeed

import (
	"math"
	"slices"
	"time"
)

// GroupID identifies runs that should take equally long on equal workers, such as those of one
// step of a job.
type GroupID struct {
	Job              string
	Occurrence, Step int
}

// Observation is the measured run time of one unit.
type Observation struct {
	// Pool names the workers that are compared with each other, such as those of one service.
	Pool  string
	Group GroupID
	// Queue names the source of the declaration. All of its declarations share a bias and a
	// variance.
	Queue string
	// Declared is the declared run time, 0 if there is none.
	Declared time.Duration
	// Took is the time of the whole run.
	Took time.Duration
	// Workers are those that the unit runs on, each named once. The slowest determines Took.
	Workers []string
}

// Estimate is what is known of a worker.
type Estimate struct {
	// Factor is the expected run time on this worker relative to an average worker of its pool,
	// shrunk towards 1 while there is little evidence. It is 1 if the difference is small or the
	// workers of the pool don't differ.
	Factor float64
	// Error is the standard deviation of the logarithm of the factor, 0 without evidence.
	Error float64
	// Runs is the number of observed runs.
	Runs int
	// Turned is set if the worker was last seen to change its speed to less than half or more than
	// twice that of an average worker.
	Turned bool
}

const (
	// maxRunTime bounds plausible run times; a longer one is an error of the caller.
	maxRunTime = 365 * 24 * time.Hour
	// minFactorLog is the smallest logarithm of a factor that differs from 1. The measurement of
	// short runs is not better than that.
	minFactorLog = 0.12
	// changeLog is the change of a run's own progress rate, as a logarithm, from which its worker
	// has changed speed: half as fast or twice as fast.
	changeLog = math.Ln2
	// maxClockStep is the time by which the caller's clock may go back before the model counts from
	// there on.
	maxClockStep = time.Minute
)

// Model holds what has been observed. Create it with New.
type Model struct {
	workers map[string]*worker
	pools   map[string]*pool
	groups  groupTable
	queues  queueTable
	// now is the latest time, and offset its distance from the caller's clock.
	now, offset time.Duration
	version     int
	ignored     int
	members     []member // of the observation in progress
}

// New returns a Model without observations.
func New() *Model {
	return &Model{
		workers: map[string]*worker{},
		pools:   map[string]*pool{},
		groups:  newGroupTable(),
		queues:  newQueueTable(),
	}
}

// Version changes whenever an Estimate may have changed other than by the passage of time.
func (m *Model) Version() int { return m.version }

// Ignored returns the number of observations, changes and restored evidence that were invalid.
func (m *Model) Ignored() int { return m.ignored }

// Observe records a run time. Each run should be observed once. Invalid observations are counted
// and otherwise ignored.
func (m *Model) Observe(now time.Duration, o Observation) {
	if !plausible(o.Took) || o.Declared < 0 || o.Declared > maxRunTime || !m.findMembers(now, o.Pool, o.Workers) {
		m.ignored++
		return
	}
	p := m.members[0].worker.pool
	g, q := m.groups.get(o.Group), m.queues.get(o.Queue)
	m.observe(p, g, q, o.Declared, math.Log(o.Took.Seconds()))
	p.observed(m)
}

func plausible(d time.Duration) bool { return d > 0 && d <= maxRunTime }

// observe records the logarithm of a run time on m.members.
func (m *Model) observe(p *pool, g *group, q *queueStats, declared time.Duration, took float64) {
	unequal, equal := &q.unequal, &q.equal
	var only *worker
	if len(m.members) == 1 {
		only = m.members[0].worker
		if mean, runs := g.on(only); runs > 0 {
			unequal.noise.addReplicate(took-mean, runs)
		}
		if mean, runs := g.all(); runs > 0 {
			equal.noise.addReplicate(took-mean, runs)
		}
	}
	unit := slowestEffect(m.members)
	base := g.base(unequal, declared, only, true)
	equalBase := g.base(equal, declared, only, false)
	if base.known && equalBase.known {
		variance, equalVariance := unequal.noise.variance()+base.variance, equal.noise.variance()+equalBase.variance
		deviation, equalDeviation := took-base.mean-unit.mean, took-equalBase.mean
		logRatio := clip(unequal.dispersion.logDensity(deviation, variance+unit.variance)-equal.dispersion.logDensity(equalDeviation, equalVariance), maxStepEvidence)
		// The runs of a group share the error of its declaration, so only one of them is evidence.
		if equal.noise.calibrated() && !(equalBase.declared && g.compared) {
			g.compared = equalBase.declared
			p.addEvidence(logRatio)
			if only != nil {
				only.addEvidence(logRatio)
			}
		}
		unequal.noise.addResidual(deviation, base.variance+unit.variance)
		equal.noise.addResidual(equalDeviation, equalBase.variance)
		if only == nil || !only.noteOutlier(took-base.mean, deviation, variance+unit.variance) {
			updateEffects(m.members, unit, took-base.mean, variance)
		}
	}
	for i := range m.members {
		m.members[i].worker.runs++
	}
	q.observe(g, declared, took-unit.mean, took)
	g.add(only, took, unit.mean)
}

// Changed records that a run on one worker progresses at another rate than before: ratio is how
// many times longer it takes for the same progress. A run shows this whatever its own length, so it
// replaces the earlier evidence on the worker. A single report is only a hint; further ones in the
// same direction confirm it.
func (m *Model) Changed(now time.Duration, poolName, workerName string, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 1) || !m.findMembers(now, poolName, []string{workerName}) {
		m.ignored++
		return
	}
	change := math.Log(ratio)
	if math.Abs(change) < changeLog {
		return
	}
	w := m.members[0].worker
	w.change(m.now, clip(change, maxEffect))
	w.pool.observed(m)
}

// Forget drops a worker whose incarnation is over.
func (m *Model) Forget(name string) {
	w := m.workers[name]
	if w == nil {
		return
	}
	delete(m.workers, name)
	w.setApart(false)
	w.pool.remove(w)
	if len(w.pool.workers) == 0 {
		delete(m.pools, w.pool.name)
	}
	m.version++
}

// EndGroup drops what is known of a group.
func (m *Model) EndGroup(id GroupID) { m.groups.remove(id) }

// Differ reports whether the workers of a pool differ by more than chance.
func (m *Model) Differ(poolName string) bool {
	p := m.pools[poolName]
	return p != nil && (p.differ || p.apart > 0)
}

// Spread returns the standard deviation of the logarithm of the factors of a pool, 0 if its workers
// don't differ. It is the error of the factor of a worker without evidence.
func (m *Model) Spread(poolName string) float64 {
	if !m.Differ(poolName) {
		return 0
	}
	return math.Sqrt(poolVariance)
}

// Estimate returns what is known of a worker.
func (m *Model) Estimate(now time.Duration, name string) Estimate {
	w := m.workers[name]
	if w == nil {
		return Estimate{Factor: 1}
	}
	w.decay(m.advance(now))
	e := Estimate{Factor: 1, Runs: w.runs, Turned: w.turned && math.Abs(w.effect()) >= changeLog}
	if w.precision <= 0 {
		return e
	}
	e.Error = math.Sqrt(w.variance())
	if effect := w.effect(); (w.pool.differ || w.apart) && math.Abs(effect) >= minFactorLog {
		e.Factor = math.Exp(clip(effect, maxEffect))
	}
	return e
}

// advance returns the time of the model, which does not go back. It stands still while the caller's
// clock is a little behind, and follows a clock that was set back further.
func (m *Model) advance(now time.Duration) time.Duration {
	if now+m.offset < m.now-maxClockStep {
		m.offset = m.now - now
	}
	m.now = max(m.now, now+m.offset)
	return m.now
}

// findMembers sets m.members to the workers of an observation, adding those that are not known yet.
// It returns false, and adds none, unless each is named once and none is known from another pool.
func (m *Model) findMembers(now time.Duration, poolName string, names []string) bool {
	for _, name := range names {
		if w := m.workers[name]; name == "" || w != nil && w.pool.name != poolName {
			return false
		}
	}
	if len(names) == 0 || len(names) > 1 && repeated(names) {
		return false
	}
	p := m.pool(poolName)
	m.advance(now)
	m.members = m.members[:0]
	for _, name := range names {
		w := m.workers[name]
		if w == nil {
			w = p.addWorker(name)
			m.workers[name] = w
		}
		w.decay(m.now)
		w.seenAt = m.now
		m.members = append(m.members, member{worker: w, normal: normal{w.effect(), w.variance()}})
	}
	return true
}

func repeated(names []string) bool {
	var buffer [16]string
	sorted := append(buffer[:0], names...)
	slices.Sort(sorted)
	return len(slices.Compact(sorted)) < len(names)
}

func (m *Model) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = newPool(name)
		m.pools[name] = p
	}
	return p
}
