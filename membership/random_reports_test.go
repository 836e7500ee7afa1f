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
	seedFlag = flag.Uint64("seed", 1, "seed of the first randomized run")
	runsFlag = flag.Int("runs", 20, "number of randomized runs")
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

// reportSimulation has agents that change, restart, drain and leave, and two tables
// that receive their reports, and relay to each other, over a network that delays,
// reorders, repeats and loses packets.
type reportSimulation struct {
	c          *qt.C
	rng        *rand.Rand
	now        time.Time
	agents     []*agent
	tables     [2]*Table
	cursors    [2]Cursor
	network    []packet
	sentStates map[reportVersion]wire.AgentReport
	lastShown  [2]map[string]reportVersion // latest version shown by each table
	drained    [2]map[string]uint64        // latest incarnation that each table knows to be draining
	left       [2]map[string]uint64        // latest incarnation that each table knows to have left
}

type agent struct {
	state    wire.AgentReport
	reporter *Reporter
	stopped  bool
}

func newReportSimulation(c *qt.C, seed uint64) *reportSimulation {
	s := &reportSimulation{c: c, rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, sentStates: map[reportVersion]wire.AgentReport{}}
	for i := range s.tables {
		interval := time.Duration(i) * 10 * time.Second
		s.tables[i] = NewTable(Config{ForgetAfter: 1000 * time.Hour, PublishInterval: interval})
		s.lastShown[i] = map[string]reportVersion{}
		s.drained[i] = map[string]uint64{}
		s.left[i] = map[string]uint64{}
	}
	for i := range 4 {
		a := &agent{}
		a.state = fullReport(fmt.Sprint("agent-", i), 0, 0)
		s.agents = append(s.agents, a)
		s.restart(a)
	}
	return s
}

func (s *reportSimulation) restart(a *agent) {
	a.state.Incarnation++
	a.state.Draining = false
	a.state.Tasks = nil
	a.stopped = false
	a.reporter = NewReporter(ReporterConfig{}, a.state, s.rng.Float64)
	s.recordState(a)
}

func (s *reportSimulation) recordState(a *agent) {
	state := a.reporter.state
	s.sentStates[reportVersion{state.ID, state.Incarnation, state.Sequence}] = state
}

func (s *reportSimulation) randomStep() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	a := s.agents[s.rng.IntN(len(s.agents))]
	table := s.rng.IntN(2)
	switch k := s.rng.IntN(100); {
	case k < 30:
		s.change(a)
	case k < 55:
		s.sendReport(a, table)
	case k < 85:
		s.deliverPacket()
	case k < 93:
		s.relayReports(table)
	case k < 96:
		s.apply(table, Tick{})
	case k < 97:
		s.apply(table, Draining{ID: a.state.ID, Incarnation: a.state.Incarnation - uint64(s.rng.IntN(2))})
	case k < 98:
		s.stop(a, table)
	default:
		s.restart(a)
	}
}

func (s *reportSimulation) change(a *agent) {
	switch s.rng.IntN(6) {
	case 0:
		a.state.Load.Queued = s.rng.IntN(5)
	case 1:
		a.state.Slots = s.rng.IntN(9)
	case 2:
		a.state.Draining = a.state.Draining || s.rng.IntN(10) == 0
	case 3:
		a.state.Generations = []wire.DocumentSummary{{Service: "dispatch", Generation: s.rng.Uint64N(5)}}
	default:
		s.changeTasks(a)
	}
	a.reporter.SetState(s.now, a.state)
	s.recordState(a)
}

func (s *reportSimulation) changeTasks(a *agent) {
	var next []gang.Task
	for i := range 4 {
		if s.rng.IntN(2) == 0 {
			next = append(next, gang.Task{ID: gang.ID{Job: fmt.Sprint("job-", i)}, State: gang.State(s.rng.IntN(3))})
		}
	}
	a.state.Tasks = next
	a.state.FencingEpoch += s.rng.Uint64N(2)
}

func (s *reportSimulation) sendReport(a *agent, to int) {
	if a.stopped {
		return
	}
	name, reporter := fmt.Sprint(to), a.reporter
	sent := reporter.Report(s.now, name)
	s.network = append(s.network, packet{to, directReports(sent), func(now time.Time, actions []Action) {
		if s.rng.IntN(4) == 0 {
			reporter.HandleFailure(now, name)
			return
		}
		var ack wire.ReportAck
		FillAck(&ack, actions)
		reporter.HandleAck(now, name, sent.Sequence, &ack)
	}})
}

// deliverPacket takes any packet; it may lose it or deliver it again later.
func (s *reportSimulation) deliverPacket() {
	if len(s.network) == 0 {
		return
	}
	i := s.rng.IntN(len(s.network))
	p := s.network[i]
	outcome := s.rng.IntN(10)
	if outcome > 0 {
		p.reply(s.now, s.apply(p.to, p.ev))
	}
	if outcome < 8 || len(s.network) > 20 {
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
}

func (s *reportSimulation) relayReports(from int) {
	to := 1 - from
	batch, cursor := s.tables[from].RelayBatch(s.now, s.cursors[from])
	s.network = append(s.network, packet{to, Reports{Batch: batch, Relayed: true}, func(now time.Time, actions []Action) {
		var ack wire.ReportAck
		FillAck(&ack, actions)
		s.cursors[from] = max(s.cursors[from], cursor)
		s.apply(to, Reports{Batch: s.tables[from].FullReports(now, ack.NeedFull), Relayed: true})
	}})
}

func (s *reportSimulation) stop(a *agent, to int) {
	a.stopped = true
	s.network = append(s.network, packet{to, directReports(a.reporter.DepartureReport()), func(time.Time, []Action) {}})
}

func (s *reportSimulation) apply(to int, ev Event) []Action {
	actions := s.tables[to].Step(s.now, ev)
	switch ev := ev.(type) {
	case Draining:
		s.drained[to][ev.ID] = max(s.drained[to][ev.ID], ev.Incarnation)
	case Reports:
		for _, r := range ev.Batch {
			s.noteReport(to, r)
		}
	}
	s.checkTable(to)
	return actions
}

// noteReport records what a report establishes permanently at the table. Reports older
// than LostAfter are ignored, except departure notices.
func (s *reportSimulation) noteReport(to int, r wire.AgentReport) {
	if r.Departed {
		s.left[to][r.ID] = max(s.left[to][r.ID], r.Incarnation)
	}
	if r.Draining && r.Age <= DefaultLostAfter {
		s.drained[to][r.ID] = max(s.drained[to][r.ID], r.Incarnation)
	}
}

func (s *reportSimulation) checkTable(i int) {
	view := s.tables[i].Snapshot().Service("dispatch")
	for _, m := range view.Schedulable {
		r := m.Report
		s.c.Assert(r.Draining, qt.IsFalse)
		s.c.Assert(s.drained[i][r.ID] < r.Incarnation, qt.IsTrue, qt.Commentf("%s is schedulable after it drained", r.ID))
	}
	for _, m := range view.Members {
		r := m.Report
		last := s.lastShown[i][r.ID]
		wentBack := r.Incarnation < last.incarnation || (r.Incarnation == last.incarnation && r.Sequence < last.sequence)
		s.c.Assert(wentBack, qt.IsFalse, qt.Commentf("%s went back from %v to %d/%d", r.ID, last, r.Incarnation, r.Sequence))
		s.c.Assert(s.left[i][r.ID] < r.Incarnation, qt.IsTrue, qt.Commentf("%s is a member after its departure notice", r.ID))
		current := reportVersion{r.ID, r.Incarnation, r.Sequence}
		s.lastShown[i][r.ID] = current
		s.c.Assert(diff(s.sentStates[current], r)&^wire.ChangedDraining, qt.Equals, wire.FieldGroups(0),
			qt.Commentf("%v is\n%+v, should be\n%+v", current, r, s.sentStates[current]))
	}
}

// With delayed, reordered, repeated, lost and relayed reports, a table must show the state
// that the agent reported, never go back, and never list a draining agent as schedulable.
func TestRandomReports(t *testing.T) {
	c := qt.New(t)
	for run := range uint64(*runsFlag) {
		seed := *seedFlag + run
		c.Run(fmt.Sprint("seed ", seed), func(c *qt.C) {
			sim := newReportSimulation(c, seed)
			for range 3000 {
				sim.randomStep()
			}
		})
	}
}
