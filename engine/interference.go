package engine

// imagePair is the image of a best-effort task and that of a latency-sensitive task on one worker.
type imagePair struct {
	bestEffort       string
	latencySensitive string
}

const (
	// initialTolerance is the speed in percent at which a best-effort task of an unknown pair of
	// images starts: low enough to be harmless even if it would double its neighbour's response
	// times at full speed, and high enough for an effect to be measurable.
	initialTolerance = 25
	// decreaseWeight and increaseWeight are the weights of the newest observation. Violations
	// count more, since load changes within seconds.
	decreaseWeight = 0.5
	increaseWeight = 0.25
)

// interferenceModel estimates for each pair of images the speed in percent at which the
// best-effort task may run while the latency-sensitive task still meets its target.
type interferenceModel struct {
	toleratedPercent map[imagePair]float64
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{toleratedPercent: map[imagePair]float64{}}
}

// tolerance returns the estimated speed in percent.
func (m *interferenceModel) tolerance(pair imagePair) float64 {
	if t, ok := m.toleratedPercent[pair]; ok {
		return t
	}
	return initialTolerance
}

// observeViolation records that a best-effort task at percent raised the tail latency to
// latencyRatio, as a fraction of the target.
func (m *interferenceModel) observeViolation(pair imagePair, percent int, latencyRatio float64) {
	tolerable := float64(percent) * latencyRatioCeiling / latencyRatio
	if t := m.tolerance(pair); tolerable < t {
		m.toleratedPercent[pair] = t + decreaseWeight*(tolerable-t)
	}
}

// observeTolerated records that the latency-sensitive task met its target at percent.
func (m *interferenceModel) observeTolerated(pair imagePair, percent int) {
	if t := m.tolerance(pair); float64(percent) > t {
		m.toleratedPercent[pair] = t + increaseWeight*(float64(percent)-t)
	}
}
