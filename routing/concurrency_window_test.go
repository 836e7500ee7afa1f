package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against idle slots after too strong a reaction to marked replies, and against
// halving the window for each of several losses of one round trip.
func TestMarksShrinkWindowGraduallyAndLossesHalveItOnce(t *testing.T) {
	c := qt.New(t)
	w := newConcurrencyWindow(64, 64)
	for range 64 {
		w.recordReply(true, true)
	}
	c.Assert(w.size, qt.Equals, 62.0)
	for range 64 * 40 {
		w.recordReply(true, true)
	}
	c.Assert(w.size < 8, qt.IsTrue)
	w = newConcurrencyWindow(64, 64)
	w.recordLoss(100, 50)
	w.recordLoss(149, 50)
	c.Assert(w.size, qt.Equals, 32.0)
	w.recordLoss(150, 50)
	c.Assert(w.size, qt.Equals, 16.0)
	for range 17 * 2 {
		w.recordReply(false, true)
	}
	c.Assert(w.size > 17.5, qt.IsTrue)
}
