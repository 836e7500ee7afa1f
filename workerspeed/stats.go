package workerspeed

import (
	"math"
	"time"

	"github.com/eelgrasshub/eelgrasshub/internal/movingstats"
)

const (
	// minDeclarationVariance keeps a few declarations that are right by chance from being trusted
	// too much.
	minDeclarationVariance = 0.01
	// declarationPriorCount and declarationPriorVariance are the prior on the error of a queue's
	// declarations.
	declarationPriorCount    = 2.0
	declarationPriorVariance = 0.25
	// minDeclarations is the number of declarations of a queue from which they are used. Before
	// that, a bias that all of them share would pass for the effect of the first workers.
	minDeclarations = 3
	// noisePriorCount and noisePriorVariance are the prior on the noise of a run: a standard
	// deviation of 17%.
	noisePriorCount    = 4.0
	noisePriorVariance = 0.03
	minNoiseVariance   = 0.0025
	minNoiseSamples    = 40
	// minStatsWeight is the weight of the newest sample once many have been seen.
	minStatsWeight = 0.02
	// outlierSigmas bounds the influence of an outlier on a statistic.
	outlierSigmas = 2.5
	// minReplicates is the number of replicates from which residuals are no longer used to estimate
	// the noise.
	minReplicates = 8
	// maxQueues bounds the queues that are remembered. Further ones share their statistics.
	maxQueues = 1024
)

// queueTable holds the statistics of a bounded number of queues.
type queueTable struct {
	queues map[string]*queueStats
	others *queueStats // of the queues beyond maxQueues
}

func newQueueTable() queueTable {
	return queueTable{queues: map[string]*queueStats{}, others: newQueueStats()}
}

func (t *queueTable) get(name string) *queueStats {
	q := t.queues[name]
	if q != nil {
		return q
	}
	if len(t.queues) >= maxQueues {
		return t.others
	}
	q = newQueueStats()
	t.queues[name] = q
	return q
}

// queueStats describes the runs of a queue, if workers differ and if they are equal.
type queueStats struct{ unequal, equal runStats }

func newQueueStats() *queueStats { return &queueStats{newRunStats(), newRunStats()} }

// runStats describes the runs of a queue under one of the two assumptions.
type runStats struct {
	declarations declarationStats
	noise        noiseStats
	dispersion   dispersionStats
}

func newRunStats() runStats {
	return runStats{noise: newNoiseStats(), dispersion: newDispersionStats()}
}

// observe records a run time against the declaration: corrected for its workers, and as it was. Only
// the first run of a group counts, since the others share its declaration.
func (q *queueStats) observe(g *group, declared time.Duration, corrected, took float64) {
	if declared <= 0 || g.declared {
		return
	}
	g.declared = true
	log := math.Log(declared.Seconds())
	q.unequal.declarations.add(corrected - log)
	q.equal.declarations.add(took - log)
}

// declarationStats holds the mean and the variance of the logarithm of actual over declared run
// time.
type declarationStats struct{ movingstats.Stats }

func (s *declarationStats) add(ratio float64) {
	deviation := ratio - s.Mean
	if s.Count > 0 {
		deviation = clip(deviation, outlierSigmas*math.Sqrt(s.variance()))
	}
	s.Add(deviation, minStatsWeight)
}

// variance returns the variance of the error, combined with the prior.
func (s *declarationStats) variance() float64 {
	return s.VarianceWithPrior(declarationPriorVariance, declarationPriorCount)
}

// noiseStats is the variance of runs of one group on one worker.
//
// It is estimated from runs of the same group on the same worker, which differ by nothing else.
// Residuals are used only while there are few of those, since they contain what is not yet known
// of the workers.
type noiseStats struct {
	boundedMean
	replicates float64
}

func newNoiseStats() noiseStats {
	return noiseStats{boundedMean: boundedMean{count: noisePriorCount, mean: noisePriorVariance}}
}

// addReplicate records the deviation of a run from the mean of earlier runs of the same group on
// the same worker.
func (n *noiseStats) addReplicate(deviation, earlier float64) {
	n.replicates++
	n.add(deviation*deviation*earlier/(earlier+1), n.variance())
}

// addResidual records the deviation of a run from its expectation. explained is the part of its
// variance that comes from the uncertainty of the expectation.
func (n *noiseStats) addResidual(deviation, explained float64) {
	if n.replicates < minReplicates {
		total := n.variance() + explained
		// The share of the noise in the expected square of the deviation.
		n.add(deviation*deviation*n.variance()/total, n.variance())
	}
}

// calibrated reports whether enough samples have been seen to compare models by their densities. Too
// low a noise favours the model with the larger variance.
func (n *noiseStats) calibrated() bool { return n.count >= noisePriorCount+minNoiseSamples }

func (n *noiseStats) variance() float64 { return max(n.mean, minNoiseVariance) }

// dispersionStats is the ratio of the actual to the assumed variance of a model's predictions. The
// runs of a group end in the order of their length, so predictions from the first ones are off by
// more than their assumed error. Without this correction, that favours the model that assumes the
// larger error.
type dispersionStats struct{ boundedMean }

const dispersionPriorCount = 8.0

func newDispersionStats() dispersionStats {
	return dispersionStats{boundedMean{count: dispersionPriorCount, mean: 1}}
}

// logDensity returns the logarithm of the density of a deviation from a prediction with an assumed
// variance, and records the deviation.
func (s *dispersionStats) logDensity(deviation, variance float64) float64 {
	density := logDensity(deviation, variance*s.mean)
	s.add(deviation*deviation/variance, s.mean)
	return density
}

// boundedMean is a mean of squares in which older samples lose weight.
type boundedMean struct{ count, mean float64 }

// add adds the square of a deviation, of which expected is the expectation. It is bounded against
// outliers.
func (m *boundedMean) add(square, expected float64) {
	m.count++
	square = min(square, outlierSigmas*outlierSigmas*expected)
	m.mean += max(minStatsWeight, 1/m.count) * (square - m.mean)
}
