package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against memory that grows with the number of client accounts seen, even if
// their requests take far longer than expected.
func TestStateOfPastAccountsIsBounded(t *testing.T) {
	q := New(Options{})
	for i := range ID(10_000) {
		q.Step(time.Time{}, Arrived{ID: i, Account: fmt.Sprint(i)})
		q.Step(time.Time{}, Finished{ID: i, SlotTime: time.Hour})
	}
	qt.Assert(t, q.accounts.idle.Len(), qt.Equals, maxIdleAccounts)
	qt.Assert(t, q.accounts.active, qt.HasLen, 0)
	qt.Assert(t, q.accounts.waiting, qt.HasLen, 0)
	qt.Assert(t, q.serviceTimes.byKey.Len(), qt.Equals, DefaultMaxServiceTimes)
	qt.Assert(t, q.requests, qt.HasLen, 0)
}

// Guards against shedding an account's requests for congestion that ended long ago.
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
