package workerspeed

import (
	"math"
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
	// Error is the standard deviation of the logarithm of the estimated factor, 0 without
	// evidence.
	Error float64
	// Runs is the number of observed runs.
	Runs int
	// Turned is set if the worker changed its speed while runs were in progress.
	Turned bool
}

const (
	// evidenceHalfLife is the time after which an observation counts half, so that a worker whose
	// speed changes between runs is reassessed within minutes.
	evidenceHalfLife = 60 * time.Second
	// maxRunTime bounds plausible run times; a longer one is an error of the caller.
	maxRunTime = 365 * 24 * time.Hour
	// outlierSigmas bounds the influence of a run that takes several times as long as others by
	// its own nature.
	outlierSigmas = 2.0
	// minDistinctLog is the smallest difference from the average that is used, as a logarithm. The
	// measurement of short runs is not better than that.
	minDistinctLog = 0.12
	// changeLog is the change of a run's own progress rate, as a logarithm, from which its worker
	// has changed speed: half as fast or twice as fast.
	changeLog = math.Ln2
	// minShare is the smallest share in a gang's slowest effect by which its run counts for a
	// worker.
	minShare = 0.02
	// maxPrecision bounds plausible evidence.
	maxPrecision = 1e5
	// maxEffect bounds the logarithm of a factor.
	maxEffect = 3.0
)

// Model holds what has been observed. Create it with New.
type Model struct {
	workers map[string]*worker
	pools   map[string]*pool
	groups  groupTable
	queues  map[string]*queueStats
	noise   noiseStats
	version int
	ignored int
	members []member // scratch of observeGang
}

// New returns a Model without observations.
func New() *Model {
	return &Model{
		workers: map[string]*worker{},
		pools:   map[string]*pool{},
		groups:  newGroupTable(),
		queues:  map[string]*queueStats{},
		noise:   newNoiseStats(),
	}
}

// Version changes whenever an Estimate may have changed other than by the passage of time.
func (m *Model) Version() int { return m.version }

// Ignored returns the number of observations that were invalid.
func (m *Model) Ignored() int { return m.ignored }

// Observe records a run time. Each run should be observed once. Invalid observations are counted
// and otherwise ignored.
func (m *Model) Observe(now time.Duration, o Observation) {
	if !plausible(o.Took) || o.Declared < 0 || o.Declared > maxRunTime || len(o.Workers) == 0 {
		m.ignored++
		return
	}
	p := m.pool(o.Pool)
	took := math.Log(o.Took.Seconds())
	g := m.groups.get(o.Group)
	q := m.queue(o.Queue)
	if len(o.Workers) == 1 {
		m.observeTask(now, p, g, q, &o, took)
	} else {
		m.observeGang(now, p, g, q, &o, took)
	}
	p.observed(now, m)
}

func plausible(d time.Duration) bool { return d > 0 && d <= maxRunTime }

// observeTask records a run on a single worker.
func (m *Model) observeTask(now time.Duration, p *pool, g *group, q *queueStats, o *Observation, took float64) {
	w := m.worker(p, o.Workers[0])
	w.decay(now)
	if mean, runs := g.on(w); runs > 0 {
		m.noise.addReplicate(took-mean, runs)
	}
	base, variance, known := m.base(g, q, o.Declared, w)
	if known {
		effect, spread := w.effect(), m.noise.variance()+variance
		uncertainty := w.variance()
		residual := clip(took-base, effect, outlierSigmas*math.Sqrt(spread+uncertainty))
		m.noise.addResidual(residual-effect, variance+uncertainty)
		w.add(residual, 1/spread, 1)
	}
	w.runs++
	q.observe(g, o.Declared, took-w.effect())
	g.add(w, took)
}

// observeGang records a run whose time is determined by its slowest worker. The effect of the
// slowest is approximated by a smooth maximum, and the run counts for each worker by its share in
// that, as in an extended Kalman filter.
func (m *Model) observeGang(now time.Duration, p *pool, g *group, q *queueStats, o *Observation, took float64) {
	base, variance, known := m.base(g, q, o.Declared, nil)
	members := m.members[:0]
	for _, id := range o.Workers {
		w := m.worker(p, id)
		w.decay(now)
		w.runs++
		members = append(members, member{worker: w, effect: w.effect(), variance: w.variance()})
	}
	m.members = members
	slowest := smoothMaximum(members)
	q.observe(g, o.Declared, took-slowest)
	g.addGang(took - slowest)
	if !known {
		return
	}
	noise := m.noise.variance() + variance
	total := noise
	for _, s := range members {
		total += s.share * s.share * s.variance
	}
	innovation := clip(took-base-slowest, 0, outlierSigmas*math.Sqrt(total))
	for _, s := range members {
		if s.share < minShare {
			continue
		}
		others := total - s.share*s.share*s.variance
		s.worker.add(s.effect+innovation/s.share, s.share*s.share/others, 1/float64(len(members)))
	}
}

// Changed records that a run on one worker progresses at another rate than before: ratio is how
// many times longer it takes for the same progress. A run of the same kind shows this whatever
// its own length, so it replaces the earlier evidence on the worker.
func (m *Model) Changed(now time.Duration, poolName, workerName string, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		m.ignored++
		return
	}
	change := math.Log(ratio)
	if math.Abs(change) < changeLog {
		return
	}
	p := m.pool(poolName)
	w := m.worker(p, workerName)
	w.decay(now)
	before := w.effect()
	if w.precision > 0 {
		before = w.raw() // not shrunk, as the change shows that the worker is unusual
	}
	w.replace(before+change, 1/m.noise.variance())
	p.observed(now, m)
}

// Evidence is what a Model knows of a worker, in a form that can be kept elsewhere and restored.
type Evidence struct {
	// Effect is the logarithm of the worker's factor, Precision the inverse of its variance.
	Effect, Precision float64
}

// Evidence returns what has been observed of a worker. It returns false if that is nothing.
func (m *Model) Evidence(now time.Duration, name string) (Evidence, bool) {
	w := m.workers[name]
	if w == nil || w.precision <= 0 {
		return Evidence{}, false
	}
	w.decay(now)
	return Evidence{Effect: w.raw(), Precision: w.precision}, true
}

// Restore records evidence from an earlier Model. It has no effect if the worker has been observed
// already or the evidence is invalid.
func (m *Model) Restore(now time.Duration, poolName, name string, e Evidence) {
	if !(math.Abs(e.Effect) <= maxEffect) || !(e.Precision > 0 && e.Precision <= maxPrecision) {
		m.ignored++
		return
	}
	p := m.pool(poolName)
	w := m.worker(p, name)
	if w.precision > 0 {
		return
	}
	w.decay(now)
	w.add(e.Effect, e.Precision, 1)
	p.observed(now, m)
}

// Forget drops a worker whose incarnation is over.
func (m *Model) Forget(name string) {
	w := m.workers[name]
	if w == nil {
		return
	}
	delete(m.workers, name)
	w.pool.remove(w)
	m.version++
}

// EndGroup drops what is known of a group.
func (m *Model) EndGroup(id GroupID) { m.groups.remove(id) }

// Differ reports whether the workers of a pool differ by more than chance.
func (m *Model) Differ(poolName string) bool {
	p := m.pools[poolName]
	return p != nil && p.differ
}

// Spread returns the standard deviation of the logarithm of the factors of a pool. It is the error
// of the factor of a worker without evidence.
func (m *Model) Spread(poolName string) float64 {
	p := m.pools[poolName]
	if p == nil || !p.differ {
		return 0
	}
	return math.Sqrt(p.variance)
}

// Estimate returns what is known of a worker.
func (m *Model) Estimate(now time.Duration, name string) Estimate {
	w := m.workers[name]
	if w == nil {
		return Estimate{Factor: 1}
	}
	w.decay(now)
	e := Estimate{Factor: 1, Runs: w.runs, Turned: w.turned}
	variance := w.variance()
	if w.evidence > 0 {
		e.Error = math.Sqrt(variance)
	}
	if !w.pool.differ {
		return e
	}
	offset := w.effect() - w.pool.mean
	if math.Abs(offset) >= minDistinctLog {
		e.Factor = math.Exp(min(max(offset, -maxEffect), maxEffect))
	}
	return e
}

func (m *Model) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = newPool()
		m.pools[name] = p
	}
	return p
}

func (m *Model) worker(p *pool, name string) *worker {
	w := m.workers[name]
	if w == nil {
		w = &worker{pool: p}
		m.workers[name] = w
		p.workers = append(p.workers, w)
	}
	return w
}

func (m *Model) queue(name string) *queueStats {
	q := m.queues[name]
	if q == nil {
		q = newQueueStats()
		m.queues[name] = q
	}
	return q
}

// base estimates the logarithm of a group's run time on an average worker, from the declaration
// and from the group's runs on workers other than w.
func (m *Model) base(g *group, q *queueStats, declared time.Duration, w *worker) (mean, variance float64, known bool) {
	sum, precision := 0.0, 0.0
	if declared > 0 {
		p := 1 / max(q.variance()-m.noise.variance(), minDeclarationVariance)
		sum += p * (math.Log(declared.Seconds()) + q.bias())
		precision += p
	}
	s, p := g.others(w, m.noise.variance())
	sum += s
	precision += p
	if precision <= 0 {
		return 0, 0, false
	}
	return sum / precision, 1 / precision, true
}

// clip bounds x to a distance from a centre.
func clip(x, centre, distance float64) float64 {
	return min(max(x, centre-distance), centre+distance)
}
