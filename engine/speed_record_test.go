package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against memory that grows with each agent that is replaced for good.
func TestSpeedsOfGoneAgentsAreForgotten(t *testing.T) {
	d := newTwoSpeedDriver(t)
	for _, w := range d.e.sortedWorkers() {
		d.e.removeWorker(w)
	}
	qt.Assert(t, d.e.earlierSpeeds, qt.HasLen, 12)
	d.now += time.Hour
	d.handle(Tick{})
	qt.Check(t, d.e.earlierSpeeds, qt.HasLen, 0)
}
