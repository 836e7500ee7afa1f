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

type version struct {
	id                    string
	incarnation, sequence uint64
}

type packet struct {
	to    int
	ev    Reports
	reply func(now time.Time, actions []Action)
}

// world has agents that change, restart, drain and leave, and two tables that
// hear them over a network that delays, reorders, repeats and loses, and that
// relay to each other.
type world struct {
	c       *qt.C
	rng     *rand.Rand
	now     time.Time
	agents  []*agent
	tables  [2]*Table
	cursors [2]Cursor
	network []packet
	truth   map[version]wire.AgentReport
	seen    [2]map[string]version // latest shown by each table
	drained [2]map[string]uint64  // incarnation that each table knows to drain
	left    [2]map[string]uint64  // incarnation that each table knows to be over
}

type agent struct {
	state    wire.AgentReport
	reporter *Reporter
	stopped  bool
}

func newWorld(c *qt.C, seed uint64) *world {
	w := &world{c: c, rng: rand.New(rand.NewPCG(seed, 1)), now: start, truth: map[version]wire.AgentReport{}}
	for i := range w.tables {
		every := time.Duration(i) * 10 * time.Second
		w.tables[i] = NewTable(Config{ForgetAfter: 1000 * time.Hour, PublishInterval: every})
		w.seen[i] = map[string]version{}
		w.drained[i] = map[string]uint64{}
		w.left[i] = map[string]uint64{}
	}
	for i := range 4 {
		a := &agent{}
		a.state = full(fmt.Sprint("agent-", i), 0, 0)
		w.agents = append(w.agents, a)
		w.restart(a)
	}
	return w
}

func (w *world) restart(a *agent) {
	a.state.Incarnation++
	a.state.Draining = false
	a.state.Tasks = nil
	a.stopped = false
	a.reporter = NewReporter(ReporterConfig{}, a.state, w.rng.Float64)
	w.record(a)
}

func (w *world) record(a *agent) {
	s := a.reporter.state
	w.truth[version{s.ID, s.Incarnation, s.Sequence}] = s
}

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
	a := w.agents[w.rng.IntN(len(w.agents))]
	table := w.rng.IntN(2)
	switch k := w.rng.IntN(100); {
	case k < 30:
		w.change(a)
	case k < 55:
		w.report(a, table)
	case k < 85:
		w.deliver()
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

func (w *world) change(a *agent) {
	switch w.rng.IntN(6) {
	case 0:
		a.state.Load.Queued = w.rng.IntN(5)
	case 1:
		a.state.Slots = w.rng.IntN(9)
	case 2:
		a.state.Draining = a.state.Draining || w.rng.IntN(10) == 0
	case 3:
		a.state.Generations = []wire.DocumentSummary{{Service: "dispatch", Generation: w.rng.Uint64N(5)}}
	default:
		w.changeTasks(a)
	}
	a.reporter.SetState(w.now, a.state)
	w.record(a)
}

func (w *world) changeTasks(a *agent) {
	var next []gang.Task
	for i := range 4 {
		if w.rng.IntN(2) == 0 {
			next = append(next, gang.Task{ID: gang.ID{Job: fmt.Sprint("job-", i)}, State: gang.State(w.rng.IntN(3))})
		}
	}
	a.state.Tasks = next
	a.state.FencingEpoch += w.rng.Uint64N(2)
}

func (w *world) report(a *agent, to int) {
	if a.stopped {
		return
	}
	name, reporter := fmt.Sprint(to), a.reporter
	sent := reporter.Report(w.now, name)
	w.network = append(w.network, packet{to, direct(sent), func(now time.Time, actions []Action) {
		if w.rng.IntN(4) == 0 {
			reporter.HandleFailure(now, name)
			return
		}
		var ack wire.ReportAck
		FillAck(&ack, actions)
		reporter.HandleAck(now, name, sent.Sequence, &ack)
	}})
}

// deliver picks any packet; it may lose it, or keep it for another time.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.rng.IntN(len(w.network))
	p := w.network[i]
	fate := w.rng.IntN(10)
	if fate > 0 {
		p.reply(w.now, w.apply(p.to, p.ev))
	}
	if fate < 8 || len(w.network) > 20 {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
}

func (w *world) relay(from int) {
	to := 1 - from
	batch, cursor := w.tables[from].Relay(w.now, w.cursors[from])
	w.network = append(w.network, packet{to, Reports{Batch: batch, Relayed: true}, func(now time.Time, actions []Action) {
		var ack wire.ReportAck
		FillAck(&ack, actions)
		w.cursors[from] = max(w.cursors[from], cursor)
		w.apply(to, Reports{Batch: w.tables[from].RelayFull(now, ack.NeedFull), Relayed: true})
	}})
}

func (w *world) stop(a *agent, to int) {
	a.stopped = true
	w.network = append(w.network, packet{to, direct(a.reporter.DepartureReport()), func(time.Time, []Action) {}})
}

func (w *world) apply(to int, ev Event) []Action {
	actions := w.tables[to].Step(w.now, ev)
	switch ev := ev.(type) {
	case Draining:
		w.drained[to][ev.ID] = max(w.drained[to][ev.ID], ev.Incarnation)
	case Reports:
		for _, r := range ev.Batch {
			w.learn(to, r)
		}
	}
	w.check(to)
	return actions
}

// learn notes what the table has been told for good. Reports older than
// LostAfter are not believed, but goodbyes are.
func (w *world) learn(to int, r wire.AgentReport) {
	if r.Departed {
		w.left[to][r.ID] = max(w.left[to][r.ID], r.Incarnation)
	}
	if r.Draining && r.Age <= DefaultLostAfter {
		w.drained[to][r.ID] = max(w.drained[to][r.ID], r.Incarnation)
	}
}

func (w *world) check(i int) {
	view := w.tables[i].Snapshot().Service("dispatch")
	for _, m := range view.Schedulable {
		r := m.Report
		w.c.Assert(r.Draining, qt.IsFalse)
		w.c.Assert(w.drained[i][r.ID] < r.Incarnation, qt.IsTrue, qt.Commentf("%s is offered after it drained", r.ID))
	}
	for _, m := range view.Members {
		r := m.Report
		last := w.seen[i][r.ID]
		back := r.Incarnation < last.incarnation || (r.Incarnation == last.incarnation && r.Sequence < last.sequence)
		w.c.Assert(back, qt.IsFalse, qt.Commentf("%s went back from %v to %d/%d", r.ID, last, r.Incarnation, r.Sequence))
		w.c.Assert(w.left[i][r.ID] < r.Incarnation, qt.IsTrue, qt.Commentf("%s is back after its goodbye", r.ID))
		now := version{r.ID, r.Incarnation, r.Sequence}
		w.seen[i][r.ID] = now
		w.c.Assert(diff(w.truth[now], r)&^wire.ChangedDraining, qt.Equals, wire.FieldGroups(0),
			qt.Commentf("%v is\n%+v, should be\n%+v", now, r, w.truth[now]))
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
			w := newWorld(c, seed)
			for range 3000 {
				w.step()
			}
		})
	}
}
