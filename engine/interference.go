package engine

// imagePair is a task that fills beside one that serves users.
type imagePair struct {
	fills  string
	serves string
}

const (
	// firstTolerance is the speed in percent at which an unknown image begins to fill: so
	// low that even one that would double its neighbour's response times stays harmless,
	// and high enough to show an effect.
	firstTolerance = 25
	// Weights of the newest observation: what is too much counts at once, what is
	// tolerated takes some seconds to be believed, since loads change within seconds.
	learnDown = 0.5
	learnUp   = 0.25
)

// interference learns, by pair of images, the speed in percent at which one may fill
// beside the other so that the other keeps its target.
type interference struct {
	tolerated map[imagePair]float64
}

func newInterference() interference {
	return interference{tolerated: map[imagePair]float64{}}
}

func (i *interference) tolerance(pair imagePair) float64 {
	if t, ok := i.tolerated[pair]; ok {
		return t
	}
	return firstTolerance
}

// tooMuch notes that percent brought the neighbour over what it may take; strain is by
// how much, in parts of its target.
func (i *interference) tooMuch(pair imagePair, percent int, strain float64) {
	safe := float64(percent) * strainCeiling / strain
	if t := i.tolerance(pair); safe < t {
		i.tolerated[pair] = t + learnDown*(safe-t)
	}
}

// harmless notes that the neighbour did well at percent.
func (i *interference) harmless(pair imagePair, percent int) {
	if t := i.tolerance(pair); float64(percent) > t {
		i.tolerated[pair] = t + learnUp*(float64(percent)-t)
	}
}
