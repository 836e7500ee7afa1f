package nodeagent

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// outcomeListWorker answers starts with the given outcomes in turn.
type outcomeListWorker struct {
	Worker
	outcomes []engine.StartOutcome
}

func (w *outcomeListWorker) Start(context.Context, OrderHeader, engine.StartOrder) engine.StartOutcome {
	outcome := w.outcomes[0]
	w.outcomes = w.outcomes[1:]
	return outcome
}

// Guards against a planner that takes a start for settled while one of its calls is still on its way.
func TestStartResultTellsOfUnansweredCalls(t *testing.T) {
	const none, broken = engine.StartUnknown, StartInterrupted
	for _, tc := range []struct {
		name       string
		outcomes   []engine.StartOutcome
		outcome    engine.StartOutcome
		unanswered bool
	}{
		{"first call answered", []engine.StartOutcome{engine.StartOK}, engine.StartOK, false},
		{"first call refused", []engine.StartOutcome{engine.StartNoCapacity}, engine.StartNoCapacity, false},
		{"second call answered", []engine.StartOutcome{none, engine.StartOK}, engine.StartOK, true},
		{"second call refused", []engine.StartOutcome{none, engine.StartNoCapacity, none}, engine.StartUnknown, true},
		{"connection of the first call broke", []engine.StartOutcome{broken, engine.StartOK}, engine.StartOK, false},
		{"connection of each call broke", []engine.StartOutcome{broken, broken, broken}, engine.StartUnknown, false},
		{"second call refused after the connection broke", []engine.StartOutcome{broken, engine.StartNoCapacity, broken}, engine.StartUnknown, false},
		{"one call without an answer", []engine.StartOutcome{broken, none, broken}, engine.StartUnknown, true},
		{"no call answered", []engine.StartOutcome{none, none, none}, engine.StartUnknown, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			a := newTestAgent(&outcomeListWorker{outcomes: tc.outcomes})
			orders := startAndStopOrders(0)
			orders.Stops = nil
			starts, err := orders.DecodeStarts()
			c.Assert(err, qt.IsNil)
			c.Check(a.execute(orders, starts).Starts, qt.DeepEquals, []engine.StartResult{{Run: starts[0].Run, Outcome: tc.outcome, CallUnanswered: tc.unanswered, CallsOver: !tc.unanswered}})
		})
	}
}
