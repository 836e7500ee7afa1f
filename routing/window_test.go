package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A target's queue grows. Marks come with the answers and must slow the entry a
// little at once and more while they last; halving at each would leave slots
// idle. Refusals of one moment have one cause and halve the window once.
func TestWindowIsCutGentlyByMarksAndOnceByLosses(t *testing.T) {
	c := qt.New(t)
	w := newWindow(64, 64)
	for range 64 {
		w.reply(true, true)
	}
	c.Assert(w.size, qt.Equals, 62.0)
	for range 64 * 40 {
		w.reply(true, true)
	}
	c.Assert(w.size < 8, qt.IsTrue)
	w = newWindow(64, 64)
	w.loss(100, 50)
	w.loss(149, 50)
	c.Assert(w.size, qt.Equals, 32.0)
	w.loss(150, 50)
	c.Assert(w.size, qt.Equals, 16.0)
	for range 17 * 2 {
		w.reply(false, true)
	}
	c.Assert(w.size > 17.5, qt.IsTrue)
}
