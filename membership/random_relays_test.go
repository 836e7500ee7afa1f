package membership

import (
	"fmt"
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
	maxOneWayDelay = 200 * time.Millisecond // most
	pollInterval   = 50 * time.Millisecond
	callTimeout    = time.Second
	// What the world holds the program to, where nothing hinders the agent and
	// the entry themselves.
	maxSilence       = 17 * time.Second
	maxDrainingShown = 3 * time.Second
	maxGangSilence   = 2500 * time.Millisecond
)

// rackAgent is an agent of the rack: an Announcer and the network around it.
type rackAgent struct {
	node
	id            string
	state         wire.AgentReport
	router        *ReportRouter
	callPending   map[string]bool
	lastRan       time.Time // last moment in which it ran
	incarnation   uint64
	drainingSince time.Time
	inGangSince   time.Time
}

// rackEntry is an entry: a table and its choice of relays.
type rackEntry struct {
	node
	addr             string
	table            *Table
	relays           map[Rack]wire.RelayInfo
	lastDirectReport map[string]time.Time // when an agent's own report came last
}

// node is a process that can be down or frozen.
type node struct {
	up           bool
	generation   int
	runningSince time.Time // it runs without a break since
	frozenUntil  time.Time // until
}

type scheduledCall struct {
	at         time.Time
	seq        int
	node       *node
	generation int
	run        func()
}

// relaySimulation has the agents of a rack, one of which relays for the others, and
// the entries, with a network that delays, loses and cuts.
type relaySimulation struct {
	c              *qt.C
	rng            *rand.Rand
	now            time.Time
	agents         []*rackAgent
	entries        []*rackEntry
	queue          []scheduledCall
	seq            int
	lossyUntil     time.Time // packets are lost until
	cutUntil       map[string]time.Time
	planner        int
	planningSince  time.Time         // since
	reports        *reportSimulation // truth and order, as in TestRandomReports
	relayedReports int
}

func newRelaySimulation(c *qt.C, seed uint64) *relaySimulation {
	w := &relaySimulation{c: c, rng: rand.New(rand.NewPCG(seed, 2)), now: startTime, cutUntil: map[string]time.Time{}, planningSince: startTime, lossyUntil: startTime}
	w.reports = &reportSimulation{c: c, sentStates: map[reportVersion]wire.AgentReport{}}
	for i := range relayEntries {
		e := &rackEntry{addr: fmt.Sprint("entry-", i)}
		w.entries = append(w.entries, e)
		w.startEntry(i)
	}
	for i := range relayAgents {
		a := &rackAgent{id: fmt.Sprint("agent-", i)}
		w.agents = append(w.agents, a)
		w.startAgent(a)
	}
	return w
}

func (n *node) start(now time.Time) {
	n.up, n.generation, n.runningSince, n.frozenUntil = true, n.generation+1, now, time.Time{}
}

func (w *relaySimulation) startEntry(i int) {
	e := w.entries[i]
	e.start(w.now)
	e.table = NewTable(Config{ForgetAfter: 1000 * time.Hour})
	e.relays, e.lastDirectReport = nil, map[string]time.Time{}
	w.reports.tables[i] = e.table
	w.reports.lastShown[i] = map[string]reportVersion{}
	w.reports.drained[i] = map[string]uint64{}
	w.reports.left[i] = map[string]uint64{}
}

func (w *relaySimulation) startAgent(a *rackAgent) {
	a.start(w.now)
	a.incarnation++
	a.lastRan, a.drainingSince, a.inGangSince = w.now, time.Time{}, time.Time{}
	a.state = fullReport(a.id, a.incarnation, 0)
	a.state.Rack, a.state.Address, a.state.Relays = "rack", a.id, true
	a.callPending = map[string]bool{}
	cfg := ReportRouterConfig{GangReportPeriod: time.Second, MaxEntries: 16}
	a.router = NewReportRouter(cfg, a.state, w.rng.Float64)
	for _, e := range w.entries {
		a.router.AddEntry(e.addr)
	}
	w.recordState(a)
}

func (w *relaySimulation) recordState(a *rackAgent) {
	s := a.router.reporter.state
	w.reports.sentStates[reportVersion{s.ID, s.Incarnation, s.Sequence}] = s
}

// schedule runs f on the node later: after it thaws, and not in a later life of it.
func (w *relaySimulation) schedule(after time.Duration, n *node, f func()) {
	w.seq++
	w.queue = append(w.queue, scheduledCall{w.now.Add(after), w.seq, n, n.generation, f})
}

func (w *relaySimulation) runUntil(until time.Time) {
	for len(w.queue) > 0 {
		i := 0
		for k, p := range w.queue {
			if p.at.Before(w.queue[i].at) || (p.at.Equal(w.queue[i].at) && p.seq < w.queue[i].seq) {
				i = k
			}
		}
		p := w.queue[i]
		if p.at.After(until) {
			break
		}
		w.queue = slices.Delete(w.queue, i, i+1)
		w.now = p.at
		switch {
		case !p.node.up || p.node.generation != p.generation:
		case p.node.frozenUntil.After(w.now):
			p.at = p.node.frozenUntil
			w.queue = append(w.queue, p)
		default:
			p.run()
		}
	}
	w.now = until
}

func (w *relaySimulation) isLost(a, b string) bool {
	return w.cutUntil[min(a, b)+max(a, b)].After(w.now) || (w.lossyUntil.After(w.now) && w.rng.IntN(3) == 0)
}

func (w *relaySimulation) delay() time.Duration {
	return time.Duration(w.rng.Int64N(int64(maxOneWayDelay)))
}

// call makes one exchange; done gets nil if no answer comes in time.
func (w *relaySimulation) call(from *rackAgent, to *node, name string, serve func() *wire.ReportAck, done func(*wire.ReportAck)) {
	finished := false
	finish := func(ack *wire.ReportAck) func() {
		return func() {
			if !finished {
				finished = true
				done(ack)
			}
		}
	}
	w.schedule(callTimeout, &from.node, finish(nil))
	if w.isLost(from.id, name) {
		return
	}
	w.schedule(w.delay(), to, func() {
		ack := serve()
		if !w.isLost(from.id, name) {
			w.schedule(w.delay(), &from.node, finish(ack))
		}
	})
}

func (w *relaySimulation) pollAgent(a *rackAgent) {
	if !a.up || a.frozenUntil.After(w.now) {
		return
	}
	a.lastRan = w.now
	for i, e := range w.entries {
		if !a.callPending[e.addr] && !a.router.Due(w.now, e.addr).After(w.now) {
			w.report(a, i)
		}
	}
	if due, ok := a.router.RelayDue(w.now); ok && !due.After(w.now) && !a.callPending["relay"] {
		w.reportToRelay(a)
	}
}

func (w *relaySimulation) report(a *rackAgent, i int) {
	e := w.entries[i]
	a.callPending[e.addr] = true
	msg := a.router.Report(w.now, e.addr)
	w.call(a, &e.node, e.addr, func() *wire.ReportAck { return w.handleReport(i, a, msg) }, func(ack *wire.ReportAck) {
		a.callPending[e.addr] = false
		if ack == nil {
			a.router.HandleFailure(w.now, e.addr)
			return
		}
		if ack.Stamp.Epoch != 0 {
			a.router.SetTimestamp(ack.Stamp)
		}
		a.router.HandleAck(w.now, e.addr, ack)
	})
}

func (w *relaySimulation) reportToRelay(a *rackAgent) {
	relay, _ := a.router.Relay()
	to := w.agents[slices.IndexFunc(w.agents, func(b *rackAgent) bool { return b.id == relay.ID })]
	a.callPending["relay"] = true
	msg := a.router.ReportToRelay(w.now)
	serve := func() *wire.ReportAck {
		ack, _ := to.router.HandleMemberReport(w.now, msg)
		return ack
	}
	w.call(a, &to.node, to.id, serve, func(ack *wire.ReportAck) {
		a.callPending["relay"] = false
		if ack == nil {
			a.router.HandleRelayFailure(w.now, relay)
			return
		}
		a.router.HandleRelayAck(w.now, relay, ack)
	})
}

// handleReport is what an entry does with a report.
func (w *relaySimulation) handleReport(i int, from *rackAgent, msg *wire.Report) *wire.ReportAck {
	e := w.entries[i]
	w.reports.now = w.now
	actions := w.reports.apply(i, Reports{Batch: msg.Batch})
	ack := &wire.ReportAck{}
	FillAck(ack, actions)
	for _, r := range msg.Batch {
		w.checkNoEvidence(from, r)
	}
	e.lastDirectReport[from.id] = w.now
	w.relayedReports += len(msg.Batch) - 1
	ack.Relay = e.relays[Rack{Zone: "wharf", Name: "rack"}]
	ack.Digest = xxhash.Sum64String(fmt.Sprint(ack.Relay))
	if i == w.planner {
		ack.Stamp = gang.NewPlannerTimestamp(1, w.now)
	}
	return ack
}

// checkNoEvidence: a report that a relay passes on must not renew a gang.
func (w *relaySimulation) checkNoEvidence(from *rackAgent, r wire.AgentReport) {
	truth := w.reports.sentStates[reportVersion{r.ID, r.Incarnation, r.Sequence}]
	if r.ID == from.id || len(truth.Tasks) == 0 {
		return
	}
	w.c.Assert(r.Stamp, qt.Equals, wire.NoEvidence, qt.Commentf("%s by %s", r.ID, from.id))
}

func (w *relaySimulation) tick() {
	for _, a := range w.agents {
		if a.up && !a.frozenUntil.After(w.now) {
			a.router.Tick(w.now)
		}
	}
	for i, e := range w.entries {
		if !e.up {
			continue
		}
		w.reports.now = w.now
		w.reports.apply(i, Tick{})
		e.relays = ChooseRelays(e.table.Snapshot().Service("dispatch"), 2)
		for _, a := range w.agents {
			w.checkPair(a, i)
		}
	}
}

func (w *relaySimulation) checkPair(a *rackAgent, i int) {
	e := w.entries[i]
	r := e.table.records[a.id]
	if r != nil && r.incarnation == a.incarnation {
		excess := r.lastContact.Sub(a.lastRan) - 2*maxOneWayDelay - pauseThreshold
		w.c.Assert(excess <= 0, qt.IsTrue, qt.Commentf("%s counts as heard by %s %v after it last ran", a.id, e.addr, excess))
	}
	if !a.up || a.frozenUntil.After(w.now) {
		return
	}
	unhindered := laterOf(laterOf(a.runningSince, e.runningSince), laterOf(w.lossyUntil, w.cutUntil[min(a.id, e.addr)+max(a.id, e.addr)]))
	if w.now.Sub(unhindered) > maxSilence {
		w.c.Assert(r != nil && w.now.Sub(r.lastContact) <= maxSilence, qt.IsTrue, qt.Commentf("%s was not heard by %s", a.id, e.addr))
	}
	if !a.drainingSince.IsZero() && w.now.Sub(laterOf(unhindered, a.drainingSince)) > maxDrainingShown {
		offered := slices.Contains(schedulableIDs(e.table), a.id)
		w.c.Assert(offered, qt.IsFalse, qt.Commentf("%s drains since %v and is offered by %s", a.id, w.now.Sub(a.drainingSince), e.addr))
	}
	if i == w.planner && !a.inGangSince.IsZero() && w.now.Sub(laterOf(laterOf(unhindered, a.inGangSince), w.planningSince)) > maxGangSilence {
		sinceDirect := w.now.Sub(e.lastDirectReport[a.id])
		w.c.Assert(sinceDirect <= maxGangSilence, qt.IsTrue, qt.Commentf("%s has a gang, and its planner did not hear it itself for %v", a.id, sinceDirect))
	}
}

func (w *relaySimulation) injectFault() {
	a := w.agents[w.rng.IntN(relayAgents)]
	i := w.rng.IntN(relayEntries)
	e := w.entries[i]
	duration := time.Duration(w.rng.IntN(60)) * time.Second
	switch w.rng.IntN(12) {
	case 0, 1:
		w.killAgent(a, duration)
	case 2:
		a.frozenUntil = laterOf(a.frozenUntil, w.now.Add(duration))
		a.runningSince = a.frozenUntil
	case 3:
		e.up = false
		w.schedule(0, &node{up: true}, func() { w.startEntry(i) })
	case 4:
		w.lossyUntil = w.now.Add(duration / 4)
	case 5:
		other := w.agents[w.rng.IntN(relayAgents)]
		w.cutUntil[min(a.id, other.id)+max(a.id, other.id)] = w.now.Add(duration)
	case 6:
		w.cutUntil[min(a.id, e.addr)+max(a.id, e.addr)] = w.now.Add(duration)
	case 7:
		w.drain(a)
		if relay, ok := a.router.Relay(); ok && w.rng.IntN(2) == 0 {
			w.killAgent(w.agents[slices.IndexFunc(w.agents, func(b *rackAgent) bool { return b.id == relay.ID })], duration)
		}
	case 8:
		w.planner, w.planningSince = i, w.now
	default:
		w.change(a)
	}
}

func (w *relaySimulation) killAgent(a *rackAgent, downtime time.Duration) {
	a.up = false
	w.schedule(downtime, &node{up: true}, func() {
		if !a.up {
			w.startAgent(a)
		}
	})
}

func (w *relaySimulation) drain(a *rackAgent) {
	if a.up && a.drainingSince.IsZero() {
		a.state.Draining = true
		a.drainingSince = w.now
		w.setState(a)
	}
}

// change begins or ends a task of a gang, or changes the load.
func (w *relaySimulation) change(a *rackAgent) {
	if !a.up || a.frozenUntil.After(w.now) {
		return
	}
	a.state.Load.Queued++
	switch w.rng.IntN(3) {
	case 0:
		a.state.Tasks = []gang.Task{{ID: gang.ID{Job: "j"}, Members: 2, State: gang.StateRunning}}
		if a.inGangSince.IsZero() {
			a.inGangSince = w.now
		}
	case 1:
		a.state.Tasks = nil
		a.inGangSince = time.Time{}
	}
	w.setState(a)
}

func (w *relaySimulation) setState(a *rackAgent) {
	a.router.SetState(w.now, a.state)
	w.recordState(a)
}

// Agents of one rack report by one of them that their entries name, while each
// of them, the relay included, is killed, frozen, drained or cut off, and the
// entries restart and hand the planning on. What an entry shows is what the agent
// said and never goes back; no dead agent looks alive; a live one is heard; one
// that drains is not offered, also when its relay dies in that moment; and a
// gang's planner hears its members themselves.
func TestRandomRelays(t *testing.T) {
	c := qt.New(t)
	for run := range uint64(*runsFlag) {
		seed := *seedFlag + run
		c.Run(fmt.Sprint("seed ", seed), func(c *qt.C) {
			w := newRelaySimulation(c, seed)
			for end := startTime.Add(20 * time.Minute); w.now.Before(end); {
				for range int(time.Second / pollInterval) {
					for _, a := range w.agents {
						w.pollAgent(a)
					}
					w.runUntil(w.now.Add(pollInterval))
				}
				w.tick()
				if w.rng.IntN(12) == 0 {
					w.injectFault()
				}
			}
			c.Assert(w.relayedReports > 100, qt.IsTrue, qt.Commentf("only %d reports by a relay", w.relayedReports))
		})
	}
}
