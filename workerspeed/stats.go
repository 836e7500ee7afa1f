package workerspeed

import (
	"math"
	"time"
)

const (
	// minDeclarationVariance keeps a few declarations that are right by chance from being trusted
	// too much.
	minDeclarationVariance = 0.01
	// declarationPriorCount and declarationPriorVariance are the prior on the error of a queue's
	// declarations.
	declarationPriorCount    = 2.0
	declarationPriorVariance = 0.25
	// noisePriorCount and noisePriorVariance are the prior on the noise of a run: a standard
	// deviation of 25%.
	noisePriorCount    = 8.0
	noisePriorVariance = 0.0625
	minNoiseVariance   = 0.0025
	// minStatsWeight is the weight of the newest sample once many have been seen.
	minStatsWeight = 0.02
)

// queueStats describes the error of a queue's declarations: the mean and variance of the logarithm
// of actual over declared run time, corrected for the worker.
type queueStats struct {
	count, mean, spread float64
}

func newQueueStats() *queueStats { return &queueStats{} }

// observe records a run time, corrected for its worker, against the declaration. Only the first run
// of a group counts, since the others share its declaration.
func (q *queueStats) observe(g *group, declared time.Duration, corrected float64) {
	if declared <= 0 || g.observed {
		return
	}
	g.observed = true
	limit := outlierSigmas * math.Sqrt(q.variance())
	delta := corrected - math.Log(declared.Seconds()) - q.mean
	if q.count > 0 {
		delta = clip(delta, 0, limit)
	}
	q.count++
	weight := max(minStatsWeight, 1/q.count)
	q.mean += weight * delta
	q.spread = (1 - weight) * (q.spread + weight*delta*delta)
}

// bias returns the mean error, shrunk towards zero while there are few samples.
func (q *queueStats) bias() float64 { return q.mean * q.count / (q.count + declarationPriorCount) }

// variance returns the variance of the error, combined with the prior.
func (q *queueStats) variance() float64 {
	return (q.spread*q.count + declarationPriorVariance*declarationPriorCount) / (q.count + declarationPriorCount)
}

// noiseStats is the variance of runs of one group on one worker.
//
// It is estimated from runs of the same group on the same worker, which differ by nothing else.
// Residuals are used only while there are few of those, since they contain what is not yet known
// of the workers.
type noiseStats struct {
	count, mean float64
	replicates  float64
}

// minReplicates is the number of replicates from which residuals are no longer used.
const minReplicates = 8

func newNoiseStats() noiseStats {
	return noiseStats{count: noisePriorCount, mean: noisePriorVariance}
}

// addReplicate records the deviation of a run from the mean of earlier runs of the same group on
// the same worker.
func (n *noiseStats) addReplicate(deviation, earlier float64) {
	n.replicates++
	n.add(deviation * deviation * earlier / (earlier + 1))
}

// addResidual records the deviation of a run from its expectation. explained is the part of its
// variance that comes from the uncertainty of the expectation.
func (n *noiseStats) addResidual(deviation, explained float64) {
	if n.replicates < minReplicates {
		n.add(max(0, deviation*deviation-explained))
	}
}

// add records a sample of the variance, bounded against outliers.
func (n *noiseStats) add(sample float64) {
	n.count++
	sample = min(sample, outlierSigmas*outlierSigmas*n.variance())
	n.mean += max(minStatsWeight, 1/n.count) * (sample - n.mean)
}

func (n *noiseStats) variance() float64 { return max(n.mean, minNoiseVariance) }
