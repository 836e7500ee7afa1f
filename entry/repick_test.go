package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/routing"
)

// All connections go silent at once. A request that may run twice has lost its first
// attempt, and no other target is open until connections are new. Its caller, with
// seconds left, heard "unknown"; a request of which nothing was sent is still
// refused at once, with when to come back.
func TestLostAttemptWaitsForATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := &dispatcher{router: routing.New(routing.Options{Seed: 1}), now: time.Now}
		d.weights.Store(&map[string]float64{})
		request := &call{account: "big", repeat: true, deadline: time.Now().Add(10 * time.Second)}
		began := time.Now()
		_, refusal := d.pick(t.Context(), request, 0, nil, false)
		c.Assert(refusal.OK(), qt.IsFalse)
		c.Assert(time.Now(), qt.Equals, began)

		go func() {
			time.Sleep(repickPatience / 2)
			d.setTargets([]routing.Target{{ID: "a", Slots: 8, MaxInflight: 64}})
		}()
		ticket, refusal := d.pick(t.Context(), request, 1, []routing.TargetID{"a"}, true)
		c.Assert(refusal.OK(), qt.IsTrue, qt.Commentf("%v", refusal.Reason))
		c.Assert(ticket.Target, qt.Equals, routing.TargetID("a"))
	})
}

// No target comes back: the caller hears so after a while, not at his deadline.
func TestLostAttemptIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := &dispatcher{router: routing.New(routing.Options{Seed: 1}), now: time.Now}
		d.weights.Store(&map[string]float64{})
		request := &call{account: "big", repeat: true, deadline: time.Now().Add(time.Hour)}
		began := time.Now()
		_, refusal := d.pick(t.Context(), request, 1, nil, true)
		c.Assert(refusal.OK(), qt.IsFalse)
		c.Assert(time.Since(began) <= repickPatience, qt.IsTrue)
	})
}
