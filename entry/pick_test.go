package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/routing"
)

// Guards against answering "unknown" while new connections are being opened after all
// have failed, and against delaying the refusal of a request of which nothing was sent.
func TestLostAttemptWaitsForTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := &dispatcher{router: routing.New(routing.Options{Seed: 1}), now: time.Now}
		d.weights.Store(&map[string]float64{})
		q := &quickRequest{account: "big", repeatable: true, deadline: time.Now().Add(10 * time.Second)}
		start := time.Now()
		_, refusal := d.pick(t.Context(), q, 0, nil, false)
		c.Assert(refusal.OK(), qt.IsFalse)
		c.Assert(time.Now(), qt.Equals, start)

		go func() {
			time.Sleep(repickTimeout / 2)
			d.setTargets([]routing.Target{{ID: "a", Slots: 8, MaxInflight: 64}})
		}()
		ticket, refusal := d.pick(t.Context(), q, 1, []routing.TargetID{"a"}, true)
		c.Assert(refusal.OK(), qt.IsTrue, qt.Commentf("%v", refusal.Reason))
		c.Assert(ticket.Target, qt.Equals, routing.TargetID("a"))
	})
}

// Guards against waiting until the deadline when no target comes back.
func TestLostAttemptTimesOutWithoutTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := &dispatcher{router: routing.New(routing.Options{Seed: 1}), now: time.Now}
		d.weights.Store(&map[string]float64{})
		q := &quickRequest{account: "big", repeatable: true, deadline: time.Now().Add(time.Hour)}
		start := time.Now()
		_, refusal := d.pick(t.Context(), q, 1, nil, true)
		c.Assert(refusal.OK(), qt.IsFalse)
		c.Assert(time.Since(start) <= repickTimeout, qt.IsTrue)
	})
}
