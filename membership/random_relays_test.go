package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	relayAgents    = 5
	relayEntries   = 2
	maxOneWayDelay = 200 * time.Millisecond
	maxLateness    = 3 * time.Second // of a request, beyond maxOneWayDelay
	pollInterval   = 50 * time.Millisecond
	callTimeout    = time.Second
	// Bounds that hold while the agent and the entry run and are connected.
	maxContactAge          = 17 * time.Second
	maxDrainingSchedulable = 3 * time.Second
	maxGangContactAge      = 2500 * time.Millisecond
)

// rackAgent is an agent of the rack: a ReportRouter and its network calls.
type rackAgent struct {
	node
	id          string
	state       wire.AgentReport
	router      *ReportRouter
	callPending map[string]bool
	// memberLateness is that of the members' last contacts with this agent as their relay.
	memberLateness lateness
	lastRan        time.Time // when it ran last
	incarnation    uint64
	drainingSince  time.Time
	inGangSince    time.Time
}

// rackEntry is an entry: a table and its choice of relays.
type rackEntry struct {
	node
	addr             string
	table            *Table
	relays           map[Rack]wire.RelayInfo
	lastDirectReport map[string]time.Time // by agent
	contactLateness  lateness
}

// lateness is by how much the last contact with each agent is too late, since a report counts
// from its arrival.
type lateness map[string]time.Duration

// note updates the lateness after a report, if it was a later contact than the one before.
func (l lateness) note(t *Table, id string, before time.Time, late time.Duration) {
	if r := t.records[id]; r != nil && r.lastContact.After(before) {
		l[id] = late
	}
}

func lastContact(t *Table, id string) time.Time {
	if r := t.records[id]; r != nil {
		return r.lastContact
	}
	return time.Time{}
}

// node is a process that can be down or frozen.
type node struct {
	up           bool
	generation   int
	runningSince time.Time // without interruption
	frozenUntil  time.Time
}

type scheduledCall struct {
	at         time.Time
	seq        int
	node       *node
	generation int
	run        func()
}

// relaySimulation has the agents of a rack, one of which relays for the others, and the
// entries, on a network that delays and loses packets and cuts connections.
type relaySimulation struct {
	c              *qt.C
	rng            *rand.Rand
	now            time.Time
	agents         []*rackAgent
	entries        []*rackEntry
	queue          []scheduledCall
	seq            int
	lossyUntil     time.Time
	cutUntil       map[string]time.Time
	lateUntil      map[string]time.Time // by sender and receiver, when the last late request is given up
	planner        int
	planningSince  time.Time
	reports        *reportSimulation // sent states and order, as in TestRandomReports
	relayedReports int
}

func newRelaySimulation(c *qt.C, seed uint64) *relaySimulation {
	s := &relaySimulation{c: c, rng: rand.New(rand.NewPCG(seed, 2)), now: startTime, cutUntil: map[string]time.Time{}, lateUntil: map[string]time.Time{}, planningSince: startTime, lossyUntil: startTime}
	s.reports = &reportSimulation{c: c, sentStates: map[reportVersion]wire.AgentReport{}}
	for i := range relayEntries {
		e := &rackEntry{addr: fmt.Sprint("entry-", i)}
		s.entries = append(s.entries, e)
		s.startEntry(i)
	}
	for i := range relayAgents {
		a := &rackAgent{id: fmt.Sprint("agent-", i)}
		s.agents = append(s.agents, a)
		s.startAgent(a)
	}
	return s
}

func (n *node) start(now time.Time) {
	n.up, n.generation, n.runningSince, n.frozenUntil = true, n.generation+1, now, time.Time{}
}

func (s *relaySimulation) startEntry(i int) {
	e := s.entries[i]
	e.start(s.now)
	e.table = NewTable(Config{ForgetAfter: 1000 * time.Hour})
	e.relays, e.lastDirectReport, e.contactLateness = nil, map[string]time.Time{}, lateness{}
	s.reports.tables[i] = e.table
	s.reports.lastShown[i] = map[string]reportVersion{}
	s.reports.drained[i] = map[string]uint64{}
	s.reports.left[i] = map[string]uint64{}
}

func (s *relaySimulation) startAgent(a *rackAgent) {
	a.start(s.now)
	a.incarnation++
	a.lastRan, a.drainingSince, a.inGangSince = s.now, time.Time{}, time.Time{}
	a.state = fullReport(a.id, a.incarnation, 0)
	a.state.Rack, a.state.Address, a.state.CanRelay = "rack", a.id, true
	a.callPending, a.memberLateness = map[string]bool{}, lateness{}
	cfg := ReportRouterConfig{GangReportPeriod: time.Second, MaxEntries: 16}
	a.router = NewReportRouter(cfg, a.state, s.rng.Float64)
	for _, e := range s.entries {
		a.router.AddEntry(e.addr)
	}
	s.recordState(a)
}

func (s *relaySimulation) recordState(a *rackAgent) {
	state := a.router.reporter.state
	s.reports.sentStates[reportVersion{state.ID, state.Incarnation, state.Sequence}] = state
}

// schedule runs f on the node later: after it thaws, and only in its current
// generation.
func (s *relaySimulation) schedule(after time.Duration, n *node, f func()) {
	s.seq++
	s.queue = append(s.queue, scheduledCall{s.now.Add(after), s.seq, n, n.generation, f})
}

func (s *relaySimulation) runUntil(until time.Time) {
	for len(s.queue) > 0 {
		i := 0
		for k, p := range s.queue {
			if p.at.Before(s.queue[i].at) || (p.at.Equal(s.queue[i].at) && p.seq < s.queue[i].seq) {
				i = k
			}
		}
		p := s.queue[i]
		if p.at.After(until) {
			break
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		s.now = p.at
		switch {
		case !p.node.up || p.node.generation != p.generation:
		case p.node.frozenUntil.After(s.now):
			p.at = p.node.frozenUntil
			s.queue = append(s.queue, p)
		default:
			p.run()
		}
	}
	s.now = until
}

func (s *relaySimulation) isLost(a, b string) bool {
	return s.cutUntil[min(a, b)+max(a, b)].After(s.now) || (s.lossyUntil.After(s.now) && s.rng.IntN(3) == 0)
}

func (s *relaySimulation) delay() time.Duration {
	return time.Duration(s.rng.Int64N(int64(maxOneWayDelay)))
}

// lateness returns an additional delay of a few requests, after which they are handled
// although the agent has given them up and sent others.
func (s *relaySimulation) lateness(from, to string) time.Duration {
	if s.rng.IntN(30) > 0 {
		return 0
	}
	s.lateUntil[from+to] = s.now.Add(callTimeout)
	return time.Duration(s.rng.Int64N(int64(maxLateness)))
}

// call makes one exchange; done gets nil if no answer arrives in time.
func (s *relaySimulation) call(from *rackAgent, to *node, name string, serve func(late time.Duration) *wire.ReportAck, done func(*wire.ReportAck)) {
	finished := false
	finish := func(ack *wire.ReportAck) func() {
		return func() {
			if !finished {
				finished = true
				done(ack)
			}
		}
	}
	s.schedule(callTimeout, &from.node, finish(nil))
	if s.isLost(from.id, name) {
		return
	}
	late := s.lateness(from.id, name)
	s.schedule(s.delay()+late, to, func() {
		ack := serve(late)
		if !s.isLost(from.id, name) {
			s.schedule(s.delay(), &from.node, finish(ack))
		}
	})
}

func (s *relaySimulation) pollAgent(a *rackAgent) {
	if !a.up || a.frozenUntil.After(s.now) {
		return
	}
	a.lastRan = s.now
	for i, e := range s.entries {
		if !a.callPending[e.addr] && !a.router.Due(s.now, e.addr).After(s.now) {
			s.report(a, i)
		}
	}
	if due, ok := a.router.RelayDue(s.now); ok && !due.After(s.now) && !a.callPending["relay"] {
		s.reportToRelay(a)
	}
}

func (s *relaySimulation) report(a *rackAgent, i int) {
	e := s.entries[i]
	a.callPending[e.addr] = true
	msg, relayed := a.router.Report(s.now, e.addr), maps.Clone(a.memberLateness)
	s.call(a, &e.node, e.addr, func(late time.Duration) *wire.ReportAck { return s.handleReport(i, a, msg, relayed, late) }, func(ack *wire.ReportAck) {
		a.callPending[e.addr] = false
		if ack == nil {
			a.router.HandleFailure(s.now, e.addr)
			return
		}
		if ack.PlannerTimestamp.Epoch != 0 {
			a.router.SetTimestamp(ack.PlannerTimestamp)
		}
		a.router.HandleAck(s.now, e.addr, ack)
	})
}

func (s *relaySimulation) reportToRelay(a *rackAgent) {
	relay, _ := a.router.Relay()
	to := s.agents[slices.IndexFunc(s.agents, func(b *rackAgent) bool { return b.id == relay.ID })]
	a.callPending["relay"] = true
	msg := a.router.ReportToRelay(s.now)
	serve := func(late time.Duration) *wire.ReportAck {
		members := to.router.relayer.table
		before := lastContact(members, a.id)
		ack, _ := to.router.HandleMemberReport(s.now, msg)
		to.memberLateness.note(members, a.id, before, late)
		return ack
	}
	s.call(a, &to.node, to.id, serve, func(ack *wire.ReportAck) {
		a.callPending["relay"] = false
		if ack == nil {
			a.router.HandleRelayFailure(s.now, relay)
			return
		}
		a.router.HandleRelayAck(s.now, relay, ack)
	})
}

// handleReport processes a report at an entry.
func (s *relaySimulation) handleReport(i int, from *rackAgent, msg *wire.Report, relayed lateness, late time.Duration) *wire.ReportAck {
	e := s.entries[i]
	s.reports.now = s.now
	for _, r := range msg.Reports {
		before := lastContact(e.table, r.ID)
		defer func() { e.contactLateness.note(e.table, r.ID, before, late+relayed[r.ID]) }()
	}
	actions := s.reports.apply(i, Reports{Batch: msg.Reports})
	ack := &wire.ReportAck{}
	FillAck(ack, actions)
	for _, r := range msg.Reports {
		s.checkNoEvidence(from, r)
	}
	e.lastDirectReport[from.id] = s.now
	s.relayedReports += len(msg.Reports) - 1
	ack.Relay = e.relays[Rack{Zone: "wharf", Name: "rack"}]
	ack.Digest = xxhash.Sum64String(fmt.Sprint(ack.Relay))
	if i == s.planner {
		ack.PlannerTimestamp = gang.NewPlannerTimestamp(1, s.now)
	}
	return ack
}

// checkNoEvidence checks that a relayed report of a gang's member can't renew the gang.
func (s *relaySimulation) checkNoEvidence(from *rackAgent, r wire.AgentReport) {
	truth := s.reports.sentStates[reportVersion{r.ID, r.Incarnation, r.Sequence}]
	if r.ID == from.id || len(truth.Tasks) == 0 {
		return
	}
	s.c.Assert(r.PlannerTimestamp, qt.Equals, wire.InvalidPlannerTimestamp, qt.Commentf("report of %s relayed by %s", r.ID, from.id))
}

func (s *relaySimulation) tick() {
	for _, a := range s.agents {
		if a.up && !a.frozenUntil.After(s.now) {
			a.router.Tick(s.now)
		}
	}
	for i, e := range s.entries {
		if !e.up {
			continue
		}
		s.reports.now = s.now
		s.reports.apply(i, Tick{})
		e.relays = ChooseRelays(e.table.Snapshot().Service("dispatch"), 2)
		for _, a := range s.agents {
			s.checkPair(a, i)
		}
	}
}

func (s *relaySimulation) checkPair(a *rackAgent, i int) {
	e := s.entries[i]
	r := e.table.records[a.id]
	if r != nil && r.incarnation == a.incarnation {
		excess := r.lastContact.Sub(a.lastRan) - e.contactLateness[a.id] - 2*maxOneWayDelay - pauseThreshold
		s.c.Assert(excess <= 0, qt.IsTrue, qt.Commentf("last contact of %s with %s is %v later than possible since it last ran", a.id, e.addr, excess))
	}
	if !a.up || a.frozenUntil.After(s.now) {
		return
	}
	healthySince := laterOf(laterOf(a.runningSince, e.runningSince), laterOf(s.lossyUntil, s.cutUntil[min(a.id, e.addr)+max(a.id, e.addr)]))
	healthySince = laterOf(healthySince, s.lateUntil[a.id+e.addr])
	if s.now.Sub(healthySince) > maxContactAge {
		s.c.Assert(r != nil && s.now.Sub(r.lastContact) <= maxContactAge, qt.IsTrue, qt.Commentf("no contact of %s with %s", a.id, e.addr))
	}
	if !a.drainingSince.IsZero() && s.now.Sub(laterOf(healthySince, a.drainingSince)) > maxDrainingSchedulable {
		schedulable := slices.Contains(schedulableIDs(e.table), a.id)
		s.c.Assert(schedulable, qt.IsFalse, qt.Commentf("%s drains since %v and is schedulable at %s", a.id, s.now.Sub(a.drainingSince), e.addr))
	}
	if i == s.planner && !a.inGangSince.IsZero() && s.now.Sub(laterOf(laterOf(healthySince, a.inGangSince), s.planningSince)) > maxGangContactAge {
		sinceDirect := s.now.Sub(e.lastDirectReport[a.id])
		s.c.Assert(sinceDirect <= maxGangContactAge, qt.IsTrue, qt.Commentf("%s has a gang, and its planner received no direct report for %v", a.id, sinceDirect))
	}
}

func (s *relaySimulation) injectFault() {
	a := s.agents[s.rng.IntN(relayAgents)]
	i := s.rng.IntN(relayEntries)
	e := s.entries[i]
	duration := time.Duration(s.rng.IntN(60)) * time.Second
	switch s.rng.IntN(12) {
	case 0, 1:
		s.killAgent(a, duration)
	case 2:
		a.frozenUntil = laterOf(a.frozenUntil, s.now.Add(duration))
		a.runningSince = a.frozenUntil
	case 3:
		e.up = false
		s.schedule(0, &node{up: true}, func() { s.startEntry(i) })
	case 4:
		s.lossyUntil = s.now.Add(duration / 4)
	case 5:
		other := s.agents[s.rng.IntN(relayAgents)]
		s.cutUntil[min(a.id, other.id)+max(a.id, other.id)] = s.now.Add(duration)
	case 6:
		s.cutUntil[min(a.id, e.addr)+max(a.id, e.addr)] = s.now.Add(duration)
	case 7:
		s.drain(a)
		if relay, ok := a.router.Relay(); ok && s.rng.IntN(2) == 0 {
			s.killAgent(s.agents[slices.IndexFunc(s.agents, func(b *rackAgent) bool { return b.id == relay.ID })], duration)
		}
	case 8:
		s.planner, s.planningSince = i, s.now
	default:
		s.change(a)
	}
}

func (s *relaySimulation) killAgent(a *rackAgent, downtime time.Duration) {
	a.up = false
	s.schedule(downtime, &node{up: true}, func() {
		if !a.up {
			s.startAgent(a)
		}
	})
}

func (s *relaySimulation) drain(a *rackAgent) {
	if a.up && a.drainingSince.IsZero() {
		a.state.Draining = true
		a.drainingSince = s.now
		s.setState(a)
	}
}

// change starts or ends a task of a gang, or changes the load.
func (s *relaySimulation) change(a *rackAgent) {
	if !a.up || a.frozenUntil.After(s.now) {
		return
	}
	a.state.Load.Queued++
	switch s.rng.IntN(3) {
	case 0:
		a.state.Tasks = []gang.Task{{ID: gang.ID{Job: "j"}, Members: 2, State: gang.StateRunning}}
		if a.inGangSince.IsZero() {
			a.inGangSince = s.now
		}
	case 1:
		a.state.Tasks = nil
		a.inGangSince = time.Time{}
	}
	s.setState(a)
}

func (s *relaySimulation) setState(a *rackAgent) {
	a.router.SetState(s.now, a.state)
	s.recordState(a)
}

// While agents and relays fail, entries must not show a dead agent as alive, a live one as
// lost or a draining one as schedulable; planners must get gang reports directly.
func TestRandomRelays(t *testing.T) {
	c := qt.New(t)
	for run := range uint64(*runsFlag) {
		seed := *seedFlag + run
		c.Run(fmt.Sprint("seed ", seed), func(c *qt.C) {
			sim := newRelaySimulation(c, seed)
			for end := startTime.Add(20 * time.Minute); sim.now.Before(end); {
				for range int(time.Second / pollInterval) {
					for _, a := range sim.agents {
						sim.pollAgent(a)
					}
					sim.runUntil(sim.now.Add(pollInterval))
				}
				sim.tick()
				if sim.rng.IntN(12) == 0 {
					sim.injectFault()
				}
			}
			c.Assert(sim.relayedReports > 100, qt.IsTrue, qt.Commentf("only %d reports by a relay", sim.relayedReports))
		})
	}
}
