package runtimes

import (
	"math"
	"time"

	"github.com/eelgrasshub/eelgrasshub/internal/movingstats"
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
	durations movingstats.Stats
	ratios    movingstats.Stats
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
	q.durations.Add(math.Log(took.Seconds())-q.durations.Mean, minSampleWeight)
	if declared > 0 {
		maxLog := math.Log(maxRatio)
		ratio := min(max(math.Log(took.Seconds()/declared.Seconds()), -maxLog), maxLog)
		q.ratios.Add(ratio-q.ratios.Mean, minSampleWeight)
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
		return seconds(math.Exp(q.durations.Mean))
	}
	correctedLog := math.Log(declared.Seconds()) + q.declarationBias()
	declaredPrecision, historyPrecision := 1/q.declarationVariance(), precision(&q.durations)
	return seconds(math.Exp((declaredPrecision*correctedLog + historyPrecision*q.durations.Mean) / (declaredPrecision + historyPrecision)))
}

// declarationBias returns the mean log ratio, shrunk towards zero while there are few samples.
func (q *queueStats) declarationBias() float64 {
	return q.ratios.Mean * q.ratios.Count / (q.ratios.Count + priorCount)
}

// declarationVariance returns the variance of the log ratio, combined with the prior.
func (q *queueStats) declarationVariance() float64 {
	return q.ratios.VarianceWithPrior(priorStdDev*priorStdDev, priorCount)
}

// precision returns the inverse variance as the weight of the mean; 0 with fewer than two
// samples.
func precision(s *movingstats.Stats) float64 {
	if s.Count < 2 {
		return 0
	}
	return (s.Count - 1) / s.Count / max(s.Variance, minStdDev*minStdDev)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
