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
func TestManyAccountsLeaveLittleBehind(t *testing.T) {
	q := New(Options{})
	for i := range ID(10_000) {
		q.Step(time.Time{}, Arrived{ID: i, Account: fmt.Sprint(i)})
		q.Step(time.Time{}, Finished{ID: i, Took: time.Hour})
	}
	qt.Assert(t, q.members.idle.Len(), qt.Equals, maxIdle)
	qt.Assert(t, q.members.busy, qt.HasLen, 0)
	qt.Assert(t, q.members.waiting, qt.HasLen, 0)
	qt.Assert(t, q.costs.learned.Len(), qt.Equals, DefaultMaxCosts)
	qt.Assert(t, q.requests, qt.HasLen, 0)
}
