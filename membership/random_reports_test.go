package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

var (
	seedFlag = flag.Uint64("seed", 1, "first seed of the randomised run")
	runsFlag = flag.Int("runs", 20, "number of randomised runs")
)

type reportVersion struct {
	id                    string
	incarnation, sequence uint64
}

type packet struct {
	to    int
	ev    Reports
	reply func(now time.Time, actions []Action)
}

// reportSimulation has agents that change, restart, drain and leave, and two tables that
// hear them over a network that delays, reorders, repeats and loses, and that
// relay to each other.
type reportSimulation struct {
	c          *qt.C
	rng        *rand.Rand
	now        time.Time
	agents     []*agent
	tables     [2]*Table
	cursors    [2]Cursor
	network    []packet
	sentStates map[reportVersion]wire.AgentReport
	lastShown  [2]map[string]reportVersion // latest shown by each table
	drained    [2]map[string]uint64        // incarnation that each table knows to drain
	left       [2]map[string]uint64        // incarnation that each table knows to be over
}

type agent struct {
	state    wire.AgentReport
	reporter *Reporter
	stopped  bool
}

func newReportSimulation(c *qt.C, seed uint64) *reportSimulation {
	w := &reportSimulation{c: c, rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, sentStates: map[reportVersion]wire.AgentReport{}}
	for i := range w.tables {
		every := time.Duration(i) * 10 * time.Second
		w.tables[i] = NewTable(Config{ForgetAfter: 1000 * time.Hour, PublishInterval: every})
		w.lastShown[i] = map[string]reportVersion{}
		w.drained[i] = map[string]uint64{}
		w.left[i] = map[string]uint64{}
	}
	for i := range 4 {
		a := &agent{}
		a.state = fullReport(fmt.Sprint("agent-", i), 0, 0)
		w.agents = append(w.agents, a)
		w.restart(a)
	}
	return w
}

func (w *reportSimulation) restart(a *agent) {
	a.state.Incarnation++
	a.state.Draining = false
	a.state.Tasks = nil
	a.stopped = false
	a.reporter = NewReporter(ReporterConfig{}, a.state, w.rng.Float64)
	w.recordState(a)
}

func (w *reportSimulation) recordState(a *agent) {
	s := a.reporter.state
	w.sentStates[reportVersion{s.ID, s.Incarnation, s.Sequence}] = s
}

func (w *reportSimulation) randomStep() {
	w.now = w.now.Add(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
	a := w.agents[w.rng.IntN(len(w.agents))]
	table := w.rng.IntN(2)
	switch k := w.rng.IntN(100); {
	case k < 30:
		w.change(a)
	case k < 55:
		w.sendReport(a, table)
	case k < 85:
		w.deliverPacket()
	case k < 93:
		w.relay(table)
	case k < 96:
		w.apply(table, Tick{})
	case k < 97:
		w.apply(table, Draining{ID: a.state.ID, Incarnation: a.state.Incarnation - uint64(w.rng.IntN(2))})
	case k < 98:
		w.stop(a, table)
	default:
		w.restart(a)
	}
}

func (w *reportSimulation) change(a *agent) {
	switch w.rng.IntN(6) {
	case 0:
		a.state.Load.Queued = w.rng.IntN(5)
	case 1:
		a.state.Slots = w.rng.IntN(9)
	case 2:
		a.state.Draining = a.state.Draining || w.rng.IntN(10) == 0
	case 3:
		a.state.Generations = []wire.Generation{{Service: "dispatch", Generation: w.rng.Uint64N(5)}}
	default:
		w.changeTasks(a)
	}
	a.reporter.SetState(w.now, a.state)
	w.recordState(a)
}

func (w *reportSimulation) changeTasks(a *agent) {
	var next []gang.Task
	for i := range 4 {
		if w.rng.IntN(2) == 0 {
			next = append(next, gang.Task{ID: gang.ID{Job: fmt.Sprint("job-", i)}, State: gang.State(w.rng.IntN(3))})
		}
	}
	a.state.Tasks = next
	a.state.Fence += w.rng.Uint64N(2)
}

func (w *reportSimulation) sendReport(a *agent, to int) {
	if a.stopped {
		return
	}
	name, reporter := fmt.Sprint(to), a.reporter
	sent := reporter.Report(w.now, name)
	w.network = append(w.network, packet{to, directReports(sent), func(now time.Time, actions []Action) {
		if w.rng.IntN(4) == 0 {
			reporter.HandleFailure(now, name)
			return
		}
		var ack wire.ReportAck
		FillAck(&ack, actions)
		reporter.HandleAck(now, name, sent.Sequence, &ack)
	}})
}

// deliverPacket picks any packet; it may lose it, or keep it for another time.
func (w *reportSimulation) deliverPacket() {
	if len(w.network) == 0 {
		return
	}
	i := w.rng.IntN(len(w.network))
	p := w.network[i]
	outcome := w.rng.IntN(10)
	if outcome > 0 {
		p.reply(w.now, w.apply(p.to, p.ev))
	}
	if outcome < 8 || len(w.network) > 20 {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
}

func (w *reportSimulation) relay(from int) {
	to := 1 - from
	batch, cursor := w.tables[from].Relay(w.now, w.cursors[from])
	w.network = append(w.network, packet{to, Reports{Batch: batch, Relayed: true}, func(now time.Time, actions []Action) {
		var ack wire.ReportAck
		FillAck(&ack, actions)
		w.cursors[from] = max(w.cursors[from], cursor)
		w.apply(to, Reports{Batch: w.tables[from].RelayFull(now, ack.NeedFull), Relayed: true})
	}})
}

func (w *reportSimulation) stop(a *agent, to int) {
	a.stopped = true
	w.network = append(w.network, packet{to, directReports(a.reporter.DepartureReport()), func(time.Time, []Action) {}})
}

func (w *reportSimulation) apply(to int, ev Event) []Action {
	actions := w.tables[to].Step(w.now, ev)
	switch ev := ev.(type) {
	case Draining:
		w.drained[to][ev.ID] = max(w.drained[to][ev.ID], ev.Incarnation)
	case Reports:
		for _, r := range ev.Batch {
			w.noteReport(to, r)
		}
	}
	w.checkTable(to)
	return actions
}

// noteReport notes what the table has been told for good. Reports older than
// LostAfter are not believed, but goodbyes are.
func (w *reportSimulation) noteReport(to int, r wire.AgentReport) {
	if r.Goodbye {
		w.left[to][r.ID] = max(w.left[to][r.ID], r.Incarnation)
	}
	if r.Draining && r.Age <= DefaultLostAfter {
		w.drained[to][r.ID] = max(w.drained[to][r.ID], r.Incarnation)
	}
}

func (w *reportSimulation) checkTable(i int) {
	view := w.tables[i].Snapshot().Service("dispatch")
	for _, m := range view.Schedulable {
		r := m.Report
		w.c.Assert(r.Draining, qt.IsFalse)
		w.c.Assert(w.drained[i][r.ID] < r.Incarnation, qt.IsTrue, qt.Commentf("%s is offered after it drained", r.ID))
	}
	for _, m := range view.Members {
		r := m.Report
		last := w.lastShown[i][r.ID]
		wentBack := r.Incarnation < last.incarnation || (r.Incarnation == last.incarnation && r.Sequence < last.sequence)
		w.c.Assert(wentBack, qt.IsFalse, qt.Commentf("%s went back from %v to %d/%d", r.ID, last, r.Incarnation, r.Sequence))
		w.c.Assert(w.left[i][r.ID] < r.Incarnation, qt.IsTrue, qt.Commentf("%s is back after its goodbye", r.ID))
		current := reportVersion{r.ID, r.Incarnation, r.Sequence}
		w.lastShown[i][r.ID] = current
		w.c.Assert(diff(w.sentStates[current], r)&^wire.ChangedDraining, qt.Equals, wire.Changed(0),
			qt.Commentf("%v is\n%+v, should be\n%+v", current, r, w.sentStates[current]))
	}
}

// Agents restart, drain and leave while their reports are delayed, reordered,
// repeated, lost and relayed. What a table shows must be what the agent said at
// that sequence, must never go back, and must never offer who drains.
func TestRandomReports(t *testing.T) {
	c := qt.New(t)
	for run := range uint64(*runsFlag) {
		seed := *seedFlag + run
		c.Run(fmt.Sprint("seed ", seed), func(c *qt.C) {
			w := newReportSimulation(c, seed)
			for range 3000 {
				w.randomStep()
			}
		})
	}
}
