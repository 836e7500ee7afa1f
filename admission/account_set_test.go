package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Client accounts come and go by the thousand, each with one request that takes
// far longer than expected. What is kept of them must not grow with their
// number, nor slow each decision down.
func TestStateOfPastAccountsIsBounded(t *testing.T) {
	q := New(Options{})
	for i := range ID(10_000) {
		q.HandleEvent(time.Time{}, Arrived{ID: i, Account: fmt.Sprint(i)})
		q.HandleEvent(time.Time{}, Finished{ID: i, SlotTime: time.Hour})
	}
	qt.Assert(t, q.accounts.idle.Len(), qt.Equals, maxIdleAccounts)
	qt.Assert(t, q.accounts.active, qt.HasLen, 0)
	qt.Assert(t, q.accounts.waiting, qt.HasLen, 0)
	qt.Assert(t, q.serviceTimes.byKey.Len(), qt.Equals, DefaultMaxServiceTimes)
	qt.Assert(t, q.requests, qt.HasLen, 0)
}

// An account was in lasting congestion when it fell silent. An hour later its
// next request finds other accounts' work in every slot, and must not be shed
// for what was.
func TestCongestionEndsWithoutStarts(t *testing.T) {
	c := qt.New(t)
	var d congestionDetector
	start := time.Time{}.Add(time.Hour)
	d.recordStart(start, 2*time.Second, time.Second)
	c.Assert(d.phase(start, time.Minute), qt.Equals, earlyCongestion)
	d.recordStart(start.Add(time.Minute), 2*time.Second, time.Second)
	c.Assert(d.phase(start.Add(time.Minute), time.Minute), qt.Equals, lastingCongestion)
	c.Assert(d.phase(start.Add(time.Hour), time.Minute), qt.Equals, noCongestion)
}
