package runtimes

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the weight of the newest of many runs. Queues see tens of runs a minute.
	minSampleWeight = 0.1
	// priorCount is how many runs the declaration counts for before any was seen.
	priorCount = 2.0
	// priorStdDev is how far, as a factor's logarithm, declarations are taken to be off then.
	priorStdDev = 0.5
	// minStdDev keeps a few runs that agree by chance from counting as certainty.
	minStdDev = 0.1
	// maxRatio bounds what one run may teach, so that an odd one can't spoil decisions.
	maxRatio = 20.0
)

// Model holds what was learned of each queue.
type Model struct {
	queues  map[string]*queueStats
	version int
}

// queueStats is the scatter of lengths by themselves, and of their ratio to what was declared.
type queueStats struct {
	durations movingStats
	ratios    movingStats
}

// New returns a Model that knows nothing, and so expects what is declared.
func New() *Model { return &Model{queues: map[string]*queueStats{}} }

// Version changes whenever expectations do.
func (m *Model) Version() int { return m.version }

// Observe takes the length of a run whose work was done, and what had been declared, 0 where
// nothing was. Runs of no length teach nothing.
func (m *Model) Observe(queueName string, declared, took time.Duration) {
	if took <= 0 {
		return
	}
	q := m.queues[queueName]
	if q == nil {
		q = &queueStats{}
		m.queues[queueName] = q
	}
	q.durations.add(math.Log(took.Seconds()))
	if declared > 0 {
		maxLog := math.Log(maxRatio)
		q.ratios.add(min(max(math.Log(took.Seconds()/declared.Seconds()), -maxLog), maxLog))
	}
	m.version++
}

// Estimate returns how long a run of a queue is expected to take; 0 where nothing is declared
// and nothing was learned.
func (m *Model) Estimate(queueName string, declared time.Duration) time.Duration {
	q := m.queues[queueName]
	if q == nil {
		return declared
	}
	if declared <= 0 {
		return seconds(math.Exp(q.durations.mean))
	}
	correctedLog := math.Log(declared.Seconds()) + q.declarationBias()
	declaredPrecision, historyPrecision := 1/q.declarationVariance(), q.durations.precision()
	return seconds(math.Exp((declaredPrecision*correctedLog + historyPrecision*q.durations.mean) / (declaredPrecision + historyPrecision)))
}

// declarationBias is by how much declarations are usually off; while few runs were seen, less.
func (q *queueStats) declarationBias() float64 {
	return q.ratios.mean * q.ratios.count / (q.ratios.count + priorCount)
}

func (q *queueStats) declarationVariance() float64 {
	priorVariance := priorStdDev * priorStdDev
	return (q.ratios.variance*q.ratios.count + priorVariance*priorCount) / (q.ratios.count + priorCount)
}

// movingStats is the mean and the variance of the latest values, the newest weighing most.
type movingStats struct {
	count          float64
	mean, variance float64
}

func (s *movingStats) add(x float64) {
	s.count++
	weight := max(minSampleWeight, 1/s.count)
	delta := x - s.mean
	s.mean += weight * delta
	s.variance = (1 - weight) * (s.variance + weight*delta*delta)
}

// precision is how much the mean tells of the next value; nothing while it rests on one.
func (s *movingStats) precision() float64 {
	if s.count < 2 {
		return 0
	}
	return (s.count - 1) / s.count / max(s.variance, minStdDev*minStdDev)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
