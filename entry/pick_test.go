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
			d.setTargets(1, []routing.Target{{ID: "a", Slots: 8, MaxInflight: 64}})
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

// The goroutines that handle reports pass the members to the router in any order. An older list, passed
// last, would bring back agents that have left, until the next change of the service's members.
func TestOlderMembersDoNotReplaceTargets(t *testing.T) {
	c := qt.New(t)
	d := &dispatcher{router: routing.New(routing.Options{Seed: 1}), now: time.Now}
	ids := func() (out []routing.TargetID) {
		for _, s := range d.router.Stats().Targets {
			out = append(out, s.ID)
		}
		return out
	}
	both := []routing.Target{{ID: "a", Slots: 8, MaxInflight: 64}, {ID: "b", Slots: 8, MaxInflight: 64}}
	d.setTargets(3, both[:1])
	d.setTargets(2, both)
	c.Check(ids(), qt.DeepEquals, []routing.TargetID{"a"})
	d.setTargets(3, both[1:])
	c.Check(ids(), qt.DeepEquals, []routing.TargetID{"b"}, qt.Commentf("a new document applies to the same members"))
	d.setTargets(4, both)
	c.Check(ids(), qt.HasLen, 2)
}
