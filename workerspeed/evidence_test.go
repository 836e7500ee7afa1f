package workerspeed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load: twenty equal tasks a second on each of two workers for ten minutes. Guards against evidence that
// is too precise to be restored, so that the next planner learns the best known workers anew.
func TestPreciseEvidenceCanBeRestored(t *testing.T) {
	m, now := New(), time.Duration(0)
	for ; now < 10*time.Minute; now += 50 * time.Millisecond {
		for i, name := range []string{"fast", "slow"} {
			took := time.Duration(i+1) * time.Second
			m.Observe(now, Observation{Pool: "s", Group: GroupID{Job: "j"}, Queue: "q", Declared: 1500 * time.Millisecond, Took: took, Workers: []string{name}})
		}
	}
	evidence, known := m.Evidence(now, "slow")
	qt.Assert(t, known, qt.IsTrue)
	t.Logf("%+v", evidence)
	next := New()
	next.Restore(0, "s", "slow", evidence)
	qt.Check(t, next.Ignored(), qt.Equals, 0)
}
