package ingress

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newTestTurns returns turns of which one is free.
func newTestTurns() *turns { return &turns{free: 1} }

// Guards against small requests that wait until all parts of a crowd's large ones were processed.
func TestFewerTurnsGoFirst(t *testing.T) {
	c := qt.New(t)
	turns := newTestTurns()
	c.Assert(turns.ask(0), qt.IsNil)
	large, small, next := turns.ask(5), turns.ask(0), turns.ask(0)
	var order []string
	for range 3 {
		turns.pass()
		for name, w := range map[string]*waiter{"large": large, "small": small, "next": next} {
			select {
			case <-w.given:
				order = append(order, name)
				w.given = nil
			default:
			}
		}
	}
	c.Check(order, qt.DeepEquals, []string{"small", "next", "large"})
	c.Check(turns.free, qt.Equals, 0)
	turns.pass()
	c.Check(turns.free, qt.Equals, 1)
}

// Guards against turns that are lost with connections that end while they wait.
func TestTurnOfEndedConnectionIsPassedOn(t *testing.T) {
	c := qt.New(t)
	turns := newTestTurns()
	first, second := turn{turns: turns}, turn{turns: turns}
	c.Assert(first.begin(context.Background()), qt.IsNil)
	ended, end := context.WithCancel(context.Background())
	end()
	c.Assert(second.begin(ended), qt.Equals, context.Canceled)
	first.end()
	first.end() // it has none any more
	c.Check(turns.free, qt.Equals, 1)
}
