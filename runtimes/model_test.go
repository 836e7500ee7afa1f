package runtimes_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/runtimes"
)

// runGenerator draws a run: its declared and its actual duration.
type runGenerator func(*rand.Rand) (declared, took time.Duration)

// meanErrors returns the mean absolute log error of three estimates: the model's, the
// declaration, and the mean of past durations.
func meanErrors(generate runGenerator) (model, declaration, mean float64) {
	rng := rand.New(rand.NewPCG(3, 4))
	m := runtimes.New()
	logError := func(estimate, actual time.Duration) float64 {
		return math.Abs(math.Log(float64(estimate) / float64(actual)))
	}
	sum, n := 0.0, 0.0
	for i := range 400 {
		declared, took := generate(rng)
		if i >= 10 {
			model += logError(m.Estimate("q", declared), took)
			declaration += logError(declared, took)
			mean += logError(time.Duration(math.Exp(sum/n)*float64(time.Second)), took)
		}
		m.Observe("q", declared, took)
		sum, n = sum+math.Log(took.Seconds()), n+1
	}
	return model / 390, declaration / 390, mean / 390
}

func logNormal(rng *rand.Rand, mean time.Duration, stdDev float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(stdDev*rng.NormFloat64()))
}

// Declarations range from a tenth to twice the actual duration, which varies little: past
// durations are the better estimate.
func TestInaccurateDeclarationsLoseWeight(t *testing.T) {
	model, declaration, mean := meanErrors(func(rng *rand.Rand) (time.Duration, time.Duration) {
		took := logNormal(rng, 2500*time.Millisecond, 0.4)
		return time.Duration((0.1 + 1.8*rng.Float64()) * float64(took)), took
	})
	qt.Check(t, model < 0.7*declaration, qt.IsTrue, qt.Commentf("model error %.2f, declaration error %.2f", model, declaration))
	qt.Check(t, model < mean, qt.IsTrue, qt.Commentf("model error %.2f, mean error %.2f", model, mean))
}

// Durations vary widely and are declared well: the declaration is the better estimate.
func TestAccurateDeclarationsKeepWeight(t *testing.T) {
	model, declaration, mean := meanErrors(func(rng *rand.Rand) (time.Duration, time.Duration) {
		took := logNormal(rng, 10*time.Second, 1.2)
		return logNormal(rng, took, 0.1), took
	})
	qt.Check(t, model < 1.1*declaration, qt.IsTrue, qt.Commentf("model error %.2f, declaration error %.2f", model, declaration))
	qt.Check(t, model < 0.3*mean, qt.IsTrue, qt.Commentf("model error %.2f, mean error %.2f", model, mean))
}

// Declarations are always wrong by the same factor.
func TestSystematicErrorIsCorrected(t *testing.T) {
	model, declaration, _ := meanErrors(func(rng *rand.Rand) (time.Duration, time.Duration) {
		took := logNormal(rng, 10*time.Second, 0.8)
		return took / 3, took
	})
	qt.Check(t, model < 0.2*declaration, qt.IsTrue, qt.Commentf("model error %.2f, declaration error %.2f", model, declaration))
}

func TestEstimateWithoutHistoryIsTheDeclaration(t *testing.T) {
	c := qt.New(t)
	m := runtimes.New()
	c.Check(m.Estimate("q", time.Second), qt.Equals, time.Second)
	c.Check(m.Estimate("q", 0), qt.Equals, time.Duration(0))
	m.Observe("q", time.Second, 0)
	c.Check(m.Version(), qt.Equals, 0)
	m.Observe("q", 0, 4*time.Second)
	c.Check(m.Estimate("q", 0).Round(time.Millisecond), qt.Equals, 4*time.Second)
	c.Check(m.Estimate("q", time.Second), qt.Equals, time.Second, qt.Commentf("a single run has no weight yet"))
}

// A run of hours that was declared to take seconds must not dominate the estimates.
func TestOutlierHasBoundedInfluence(t *testing.T) {
	m := runtimes.New()
	for range 20 {
		m.Observe("q", 2*time.Second, 2*time.Second)
	}
	m.Observe("q", 2*time.Second, 5*time.Hour)
	got := m.Estimate("q", 2*time.Second)
	qt.Check(t, got < 5*time.Second, qt.IsTrue, qt.Commentf("estimate: %v", got))
}
