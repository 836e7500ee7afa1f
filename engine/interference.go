package engine

// imagePair is a task that fills beside one that serves users.
type imagePair struct {
	bestEffort       string
	latencySensitive string
}

const (
	// initialTolerance is the speed in percent at which an unknown image begins to fill: so
	// low that even one that would double its neighbour's response times stays harmless,
	// and high enough to show an effect.
	initialTolerance = 25
	// Weights of the newest observation: what is too much counts at once, what is
	// tolerated takes some seconds to be believed, since loads change within seconds.
	decreaseWeight = 0.5
	increaseWeight = 0.25
)

// interferenceModel learns, by pair of images, the speed in percent at which one may fill
// beside the other so that the other keeps its target.
type interferenceModel struct {
	toleratedPercent map[imagePair]float64
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{toleratedPercent: map[imagePair]float64{}}
}

func (m *interferenceModel) tolerance(pair imagePair) float64 {
	if t, ok := m.toleratedPercent[pair]; ok {
		return t
	}
	return initialTolerance
}

// observeViolation notes that percent brought the neighbour over what it may take; strain is by
// how much, in parts of its target.
func (m *interferenceModel) observeViolation(pair imagePair, percent int, latencyRatio float64) {
	tolerable := float64(percent) * strainCeiling / latencyRatio
	if t := m.tolerance(pair); tolerable < t {
		m.toleratedPercent[pair] = t + decreaseWeight*(tolerable-t)
	}
}

// observeTolerated notes that the neighbour did well at percent.
func (m *interferenceModel) observeTolerated(pair imagePair, percent int) {
	if t := m.tolerance(pair); float64(percent) > t {
		m.toleratedPercent[pair] = t + increaseWeight*(float64(percent)-t)
	}
}
