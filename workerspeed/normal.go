package workerspeed

import "math"

// normal is a normal distribution.
type normal struct{ mean, variance float64 }

const (
	// outlierShare is the assumed share of runs whose time tells nothing about their worker, such
	// as tasks that take several times as long as others by their own nature.
	outlierShare = 0.05
	// maxEffect bounds the logarithm of a factor.
	maxEffect = 3.0
	// outlierDensity is the density of the logarithm of such a run time.
	outlierDensity = 1 / (2 * maxEffect)
)

// density returns the density of a normal distribution at a distance from its mean.
func density(distance, variance float64) float64 {
	return math.Exp(-distance*distance/(2*variance)) / math.Sqrt(2*math.Pi*variance)
}

// logDensity returns the logarithm of the density of a run time at a distance from its expectation,
// with outliers.
func logDensity(distance, variance float64) float64 {
	return math.Log((1-outlierShare)*density(distance, variance) + outlierShare*outlierDensity)
}

// cumulative returns the probability that a standard normal variable is below x.
func cumulative(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }

// clip bounds x to a distance from 0.
func clip(x, distance float64) float64 { return min(max(x, -distance), distance) }
