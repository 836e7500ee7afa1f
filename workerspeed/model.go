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
	// Factor is the run time on this worker relative to an average worker of its pool. It is 1
	// unless the worker is certainly slower or faster.
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
	// distinctSigmas is how many standard deviations a worker has to be off the average before its
	// factor is used.
	distinctSigmas = 2.0
	// minDistinctLog is the smallest difference from the average that is used, as a logarithm. The
	// measurement of short runs is not better than that.
	minDistinctLog = 0.12
	// changeLog is the change of a run's own progress rate, as a logarithm, from which its worker
	// has changed speed: half as fast or twice as fast.
	changeLog = math.Ln2
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
	base, variance, known := m.base(g, q, o.Declared, w)
	if known {
		effect, spread := w.effect(p.variance), m.noise.variance()+variance
		residual := clip(took-base, effect, outlierSigmas*math.Sqrt(spread+w.variance(p.variance)))
		m.noise.add(residual-effect, variance+w.variance(p.variance))
		w.add(residual, 1/spread, 1)
	}
	w.runs++
	q.observe(g, o.Declared, took-w.effect(p.variance))
	g.add(w, took)
}

// observeGang records a run whose time is determined by its slowest worker. A worker whose
// estimate is slower than the run is certainly at least as fast as the run; among the others the
// run counts by the probability that each was the slowest.
func (m *Model) observeGang(now time.Duration, p *pool, g *group, q *queueStats, o *Observation, took float64) {
	base, variance, known := m.base(g, q, o.Declared, nil)
	spread := m.noise.variance() + variance
	slowest, total := math.Inf(-1), 0.0
	for _, id := range o.Workers {
		w := m.worker(p, id)
		w.decay(now)
		w.runs++
		effect := w.effect(p.variance)
		slowest = max(slowest, effect)
		w.likelihood = 0
		if known && effect <= took-base {
			distance, v := took-base-effect, spread+w.variance(p.variance)
			w.likelihood = math.Exp(-distance * distance / (2 * v))
			total += w.likelihood
		}
	}
	q.observe(g, o.Declared, took-slowest)
	g.addGang(took - slowest)
	if !known {
		return
	}
	share := 1 / float64(len(o.Workers))
	for _, id := range o.Workers {
		w := m.workers[id]
		effect := w.effect(p.variance)
		residual := clip(took-base, effect, outlierSigmas*math.Sqrt(spread+w.variance(p.variance)))
		weight := 1.0
		if residual >= effect {
			weight = share
			if total > 0 {
				weight = w.likelihood / total
			}
		}
		w.add(residual, weight/spread, share)
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
	w.replace(w.effect(max(p.variance, changeLog*changeLog))+change, 1/m.noise.variance())
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

// Estimate returns what is known of a worker.
func (m *Model) Estimate(now time.Duration, name string) Estimate {
	w := m.workers[name]
	if w == nil {
		return Estimate{Factor: 1}
	}
	w.decay(now)
	e := Estimate{Factor: 1, Runs: w.runs, Turned: w.turned}
	variance := w.variance(w.pool.variance)
	if w.evidence > 0 {
		e.Error = math.Sqrt(variance)
	}
	if !w.pool.differ {
		return e
	}
	offset := w.effect(w.pool.variance) - w.pool.mean
	if math.Abs(offset) >= max(minDistinctLog, distinctSigmas*math.Sqrt(variance)) {
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
