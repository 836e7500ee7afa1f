package workerspeed

import "math"

// member is a worker of a gang whose run is being observed.
type member struct {
	worker           *worker
	effect, variance float64
	// share is the derivative of the gang's effect by that of this worker.
	share float64
}

// temperatureFactor is the ratio of the temperature of the smooth maximum to the standard deviation
// of the effects. With 0.6 it agrees with the expected maximum of 2 to 20 equal normal variables to
// within 0.15 standard deviations.
const temperatureFactor = 0.6

// minTemperature avoids overflow where all effects are well known.
const minTemperature = 0.02

// smoothMaximum returns the expected largest effect of the members and sets their shares, which add
// up to 1.
func smoothMaximum(members []member) float64 {
	largest, variance := math.Inf(-1), 0.0
	for _, s := range members {
		largest = max(largest, s.effect)
		variance += s.variance
	}
	temperature := max(minTemperature, temperatureFactor*math.Sqrt(variance/float64(len(members))))
	sum := 0.0
	for i := range members {
		members[i].share = math.Exp((members[i].effect - largest) / temperature)
		sum += members[i].share
	}
	for i := range members {
		members[i].share /= sum
	}
	return largest + temperature*math.Log(sum)
}
