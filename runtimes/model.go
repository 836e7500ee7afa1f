package runtimes

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the weight of the newest sample once many have been seen.
	minSampleWeight = 0.1
	// priorCount is the number of samples that the prior on declarations counts for.
	priorCount = 2.0
	// priorStdDev is the prior standard deviation of the logarithm of actual over declared
	// duration.
	priorStdDev = 0.5
	// minStdDev keeps a few samples that agree by chance from being trusted too much.
	minStdDev = 0.1
	// maxRatio limits the ratio of actual to declared duration, to bound the influence of
	// an outlier.
	maxRatio = 20.0
)

// Model holds the statistics of each queue.
type Model struct {
	queues  map[string]*queueStats
	version int
}

// queueStats holds statistics of the logarithm of the durations of a queue's runs, and of the
// logarithm of the ratio of actual to declared duration.
type queueStats struct {
	durations movingStats
	ratios    movingStats
}

// New returns a Model without samples; its estimates are the declared durations.
func New() *Model { return &Model{queues: map[string]*queueStats{}} }

// Version changes whenever an estimate may have changed.
func (m *Model) Version() int { return m.version }

// Observe records the duration of a run that completed its work, and the declared duration,
// 0 if none was declared. Runs without a positive duration are ignored.
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

// Estimate returns the expected duration of a run of a queue. It is 0 if nothing is declared
// and no run has been observed.
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

// declarationBias returns the mean log ratio, shrunk towards zero while there are few samples.
func (q *queueStats) declarationBias() float64 {
	return q.ratios.mean * q.ratios.count / (q.ratios.count + priorCount)
}

// declarationVariance returns the variance of the log ratio, combined with the prior.
func (q *queueStats) declarationVariance() float64 {
	priorVariance := priorStdDev * priorStdDev
	return (q.ratios.variance*q.ratios.count + priorVariance*priorCount) / (q.ratios.count + priorCount)
}

// movingStats is an exponentially weighted mean and variance.
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

// precision returns the inverse variance as the weight of the mean; 0 with fewer than two
// samples.
func (s *movingStats) precision() float64 {
	if s.count < 2 {
		return 0
	}
	return (s.count - 1) / s.count / max(s.variance, minStdDev*minStdDev)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
