package routing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/routing"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func target(id routing.TargetID) routing.Target {
	return routing.Target{ID: id, Zone: "east", Slots: 8, Connections: 64}
}

// A worker is told to leave. Requests that were routed to it afterwards would
// be cut off by its stop; what it runs must still be counted to its end.
func TestDrainingTargetGetsNothingNew(t *testing.T) {
	c := qt.New(t)
	r := routing.New(routing.Options{})
	r.SetTargets(at(0), []routing.Target{target("a"), target("b")})
	var early []routing.Ticket
	for range 8 {
		ticket, refusal := r.Pick(at(0), routing.Query{})
		c.Assert(refusal.OK(), qt.IsTrue)
		early = append(early, ticket)
	}
	leaving := target("a")
	leaving.Draining = true
	r.SetTargets(at(1), []routing.Target{leaving, target("b")})
	for _, ticket := range early {
		r.Done(at(2), ticket, routing.Outcome{Kind: routing.Answered})
	}
	for range 4 {
		ticket, refusal := r.Pick(at(3), routing.Query{})
		c.Assert(refusal.OK(), qt.IsTrue)
		c.Assert(ticket.Target, qt.Equals, routing.TargetID("b"))
	}
}
