package planner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/clock"
)

var (
	reportSeed = flag.Uint64("reports.seed", 1, "seed of the first randomized run of reports")
	reportRuns = flag.Uint64("reports.runs", 10, "number of randomized runs of reports")
)

// reportingAgent is what the processes of one agent id say in turn.
type reportingAgent struct {
	state    AgentReport // what the present process reports
	departed bool
	sent     map[[2]uint64]AgentReport // by incarnation and sequence
}

// reportOrder is a planner that handles the reports and departures of agents in any order, some of them
// long after they were sent or twice.
type reportOrder struct {
	*bench
	planner *Planner
	rng     *rand.Rand
	agents  []*reportingAgent
	pending []func()
	left    map[string]uint64    // latest incarnation of which the planner has handled the departure
	seen    map[string][2]uint64 // latest state that the planner has handled
}

func newReportOrder(t *testing.T, seed uint64) *reportOrder {
	o := &reportOrder{bench: newBench(t), rng: rand.New(rand.NewPCG(seed, 3)), left: map[string]uint64{}, seen: map[string][2]uint64{}}
	o.planner = o.bench.planner(9, newFakeAgents())
	for i := range 3 {
		a := &reportingAgent{state: reportOf(fmt.Sprint("agent-", i), 0), sent: map[[2]uint64]AgentReport{}}
		o.agents = append(o.agents, a)
		o.restart(a)
	}
	return o
}

func (o *reportOrder) restart(a *reportingAgent) {
	a.state = reportOf(string(a.state.Worker.ID), a.state.Incarnation+1)
	a.state.Sequence, a.departed = 1, false
}

func (o *reportOrder) step() {
	a := o.agents[o.rng.IntN(len(o.agents))]
	switch k := o.rng.IntN(20); {
	case k == 0:
		o.restart(a)
	case k == 1 && !a.departed:
		a.departed = true
		o.pending = append(o.pending, o.departure(string(a.state.Worker.ID), a.state.Incarnation))
	case k < 6:
		a.state.Sequence++
		a.state.Draining = a.state.Draining || o.rng.IntN(4) == 0
		a.state.Fence = max(a.state.Fence, o.rng.Uint64N(10))
	case k < 12 && !a.departed:
		o.pending = append(o.pending, o.report(a))
	case len(o.pending) > 0:
		o.handleOne()
	}
}

func (o *reportOrder) departure(agent string, incarnation uint64) func() {
	return func() {
		o.planner.HandleAgentLeft(agent, incarnation)
		o.left[agent] = max(o.left[agent], incarnation)
	}
}

func (o *reportOrder) report(a *reportingAgent) func() {
	r := a.state
	version := [2]uint64{r.Incarnation, r.Sequence}
	a.sent[version] = r
	return func() {
		r.ReceivedAt = clock.Now()
		o.planner.HandleReport(r)
		agent := string(r.Worker.ID)
		if r.Incarnation > o.left[agent] && isLater(version, o.seen[agent]) {
			o.seen[agent] = version
		}
	}
}

func isLater(a, b [2]uint64) bool { return a[0] > b[0] || a[0] == b[0] && a[1] > b[1] }

// handleOne lets the planner handle any message that is pending, and sometimes again later.
func (o *reportOrder) handleOne() {
	i := o.rng.IntN(len(o.pending))
	o.pending[i]()
	if o.rng.IntN(10) > 0 || len(o.pending) > 30 {
		o.pending = append(o.pending[:i], o.pending[i+1:]...)
	}
	for _, a := range o.agents {
		o.check(a)
	}
}

func (o *reportOrder) check(a *reportingAgent) {
	agent := string(a.state.Worker.ID)
	w, ok := callOnLoop(context.Background(), o.planner, func() worker {
		if w := o.planner.workers[agent]; w != nil {
			return *w
		}
		return worker{}
	})
	o.c.Assert(ok, qt.IsTrue)
	last := w.lastReport
	o.c.Assert([2]uint64{last.Incarnation, last.Sequence}, qt.Equals, o.seen[agent], qt.Commentf("%s: latest state handled", agent))
	o.c.Assert(w.up, qt.Equals, last.Incarnation > o.left[agent], qt.Commentf("%s: available, last %d, left %d", agent, last.Incarnation, o.left[agent]))
	if last.Incarnation == 0 {
		return
	}
	sent := a.sent[o.seen[agent]]
	o.c.Assert(last.Draining, qt.Equals, sent.Draining)
	o.c.Assert(last.Fence, qt.Equals, sent.Fence)
	o.c.Assert(w.fencedAt.IsZero(), qt.Equals, sent.Fence < o.planner.cfg.Epoch)
}

// Whatever the order in which reports and departures are handled, what a planner knows of an agent never
// goes back, and an agent that has left is not available.
func TestRandomOrderOfReports(t *testing.T) {
	for run := range *reportRuns {
		seed := *reportSeed + run
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := newReportOrder(t, seed)
			for range 1000 {
				o.step()
			}
		})
	}
}
