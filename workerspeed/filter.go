package workerspeed

import "math"

// member is a worker of the unit whose run is being observed, with its effect before the run.
type member struct {
	worker *worker
	normal
	// share is the weight of the worker in the effect of the slowest.
	share float64
}

// temperatureFactor is the ratio of the temperature of the smooth maximum to the standard deviation
// of the effects. With 0.6 it agrees with the expected maximum of 2 to 20 equal normal variables to
// within 0.15 standard deviations.
const temperatureFactor = 0.6

// minTemperature avoids overflow where all effects are well known.
const minTemperature = 0.02

// slowest is the approximate distribution of the largest effect of a unit's members: a smooth maximum
// with a temperature.
type slowest struct {
	normal
	temperature float64
}

// slowestEffect returns the distribution of the largest effect of the members, and sets their shares.
func slowestEffect(members []member) slowest {
	if len(members) == 1 {
		members[0].share = 1
		return slowest{normal: members[0].normal}
	}
	largest, variance := math.Inf(-1), 0.0
	for i := range members {
		largest = max(largest, members[i].mean)
		variance += members[i].variance
	}
	temperature := max(minTemperature, temperatureFactor*math.Sqrt(variance/float64(len(members))))
	sum := 0.0
	for i := range members {
		members[i].share = math.Exp((members[i].mean - largest) / temperature)
		sum += members[i].share
	}
	s := slowest{normal{mean: largest + temperature*math.Log(sum)}, temperature}
	for i := range members {
		members[i].share /= sum
		s.variance += members[i].share * members[i].share * members[i].variance
	}
	return s
}

// updateEffects updates the effects of the members, of which unit is the result of slowestEffect, by the
// residual of a run, whose error has a variance.
func updateEffects(members []member, unit slowest, residual, variance float64) {
	if len(members) == 1 {
		members[0].worker.update(members[0].normal, posterior(members[0].normal, residual, variance))
		return
	}
	for i := range members {
		s := &members[i]
		rest := max(1-s.share, 1e-6)
		others := normal{
			mean:     unit.mean + unit.temperature*math.Log(rest),
			variance: max(unit.variance-s.share*s.share*s.variance, 0) / (rest * rest),
		}
		others.variance = max(others.variance, minVariance)
		s.worker.update(s.normal, posteriorInGang(s.normal, others, residual, variance))
	}
}

// minVariance keeps distributions proper.
const minVariance = 1e-4

// posterior returns the distribution of an effect after a residual that shows it with an error, or
// nothing if the run is an outlier.
func posterior(prior normal, residual, variance float64) normal {
	total := prior.variance + variance
	regular := (1 - outlierShare) * density(residual-prior.mean, total)
	weight := regular / (regular + outlierShare*outlierDensity)
	gain := prior.variance / total
	updated := normal{prior.mean + gain*(residual-prior.mean), prior.variance * (1 - gain)}
	return mix(prior, updated, weight)
}

// mix returns a normal distribution with the mean and variance of a mixture of two.
func mix(a, b normal, weightOfB float64) normal {
	mean := a.mean + weightOfB*(b.mean-a.mean)
	da, db := a.mean-mean, b.mean-mean
	return normal{mean, (1-weightOfB)*(a.variance+da*da) + weightOfB*(b.variance+db*db)}
}

// gridPoints and gridWidth are the number of points at which the posterior of a gang's member is
// evaluated, and the distance of the outermost ones from the mean in standard deviations.
const (
	gridPoints = 13
	gridWidth  = 3.0
)

// gridVariance is the variance of a standard normal distribution on the grid. It is below 1, as the grid
// is bounded. Without a correction, each run would reduce the variance, also one that shows nothing.
var gridVariance = func() float64 {
	sum, second := 0.0, 0.0
	for i := range gridPoints {
		z := gridWidth * (2*float64(i)/(gridPoints-1) - 1)
		w := math.Exp(-z * z / 2)
		sum += w
		second += w * z * z
	}
	return second / sum
}()

// posteriorInGang returns the distribution of a member's effect after a residual that shows, with an
// error, the larger of it and of the others' largest effect.
func posteriorInGang(prior, others normal, residual, variance float64) normal {
	// Given that the others determine the run, their effect is distributed like this.
	total := others.variance + variance
	othersDensity := density(residual-others.mean, total)
	shown := normal{(others.mean*variance + residual*others.variance) / total, others.variance * variance / total}
	othersDeviation, shownDeviation, deviation := math.Sqrt(others.variance), math.Sqrt(shown.variance), math.Sqrt(prior.variance)
	sum, first, second := 0.0, 0.0, 0.0
	for i := range gridPoints {
		z := gridWidth * (2*float64(i)/(gridPoints-1) - 1)
		x := prior.mean + z*deviation
		likelihood := cumulative((x-others.mean)/othersDeviation)*density(residual-x, variance) +
			othersDensity*cumulative((shown.mean-x)/shownDeviation)
		w := math.Exp(-z*z/2) * ((1-outlierShare)*likelihood + outlierShare*outlierDensity)
		sum += w
		first += w * z
		second += w * z * z
	}
	mean := first / sum
	return normal{prior.mean + mean*deviation, prior.variance * max((second/sum-mean*mean)/gridVariance, 0.01)}
}
