package movingstats_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/internal/movingstats"
)

func TestFewSamplesCountEqually(t *testing.T) {
	c := qt.New(t)
	var s movingstats.Stats
	for _, x := range []float64{2, 4, 6, 8} {
		s.Add(x-s.Mean, 0.1)
	}
	c.Check(s.Count, qt.Equals, 4.0)
	c.Check(math.Abs(s.Mean-5) < 1e-9, qt.IsTrue)
	c.Check(math.Abs(s.Variance-5) < 1e-9, qt.IsTrue)
	c.Check(math.Abs(s.VarianceWithPrior(1, 4)-3) < 1e-9, qt.IsTrue)
}

// Guards against statistics that no longer follow a change once many samples have been seen.
func TestNewSamplesOutweighOldOnes(t *testing.T) {
	var s movingstats.Stats
	for range 1000 {
		s.Add(1-s.Mean, 0.1)
	}
	for range 50 {
		s.Add(2-s.Mean, 0.1)
	}
	qt.Check(t, s.Mean > 1.99, qt.IsTrue, qt.Commentf("mean %v", s.Mean))
}
