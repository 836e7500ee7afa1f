package workerspeed

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A run that is an outlier tells nothing about a gang's members. Guards against an error of their
// effects that falls with each such run.
func TestOutlierOfGangIsNoEvidence(t *testing.T) {
	prior := normal{0, poolVariance}
	after := posteriorInGang(prior, normal{0, poolVariance}, 40, 0.03)
	qt.Check(t, after.variance/prior.variance > 0.999, qt.IsTrue, qt.Commentf("variance falls to %v of the prior", after.variance/prior.variance))
	qt.Check(t, math.Abs(after.mean-prior.mean) < 1e-9, qt.IsTrue)
}

// Load: eight gangs of two at a time on each worker, each of half a second, for an hour; then one
// worker becomes slow. Guards against evidence that grows without bound, so that a worker's change of
// speed is not learned and a recorded speed is too precise to be restored.
func TestShortGangsForAnHour(t *testing.T) {
	l := newLoad(1, 12).twoSpeeds()
	l.slots = 8
	for l.now < time.Hour {
		l.gang(2, 0.5)
	}
	evidence, _ := l.model.Evidence(l.now, "w0")
	t.Logf("%+v, %d runs", evidence, l.runs[0])
	qt.Check(t, evidence.Precision < maxPrecision, qt.IsTrue)
	l.speed[0] = 3
	for end := l.now + 5*time.Minute; l.now < end; {
		l.gang(2, 0.5)
	}
	qt.Check(t, l.factor(0) > 1.5, qt.IsTrue, qt.Commentf("factor %v", l.factor(0)))
}
