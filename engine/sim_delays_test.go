package engine

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var (
	simDelaySeeds   = flag.Int("sim-delay-seeds", 6, "number of random worlds with delayed messages")
	simDelayRate    = flag.Int("sim-delay-rate", 1, "how many times as often as usual messages are delayed")
	simTracedWorker = flag.String("sim-worker", "", "worker whose messages are logged, in worlds with delayed messages")
	simDelayWithout = flag.String("sim-delay-without", "", "comma-separated message kinds that are not delayed, and process faults that do not occur")
)

// Guards against tasks that run twice because messages are delayed and overtake each other, and
// agents, planners and workers are paused, besides the faults of planFaults.
func TestSimulationWithDelayedMessages(t *testing.T) {
	runSimulations(t, *simDelaySeeds, func(w *simCluster, seed uint64) {
		w.useAgents(seed)
		w.planFaults(faultTime)
		w.planProcessFaults(faultTime)
	})
}

// Guards against the same while crashed workers return under their names, so that calls to an earlier
// incarnation reach the next one.
func TestSimulationWithDelaysAndReusedNames(t *testing.T) {
	runSimulations(t, *simDelaySeeds, func(w *simCluster, seed uint64) {
		w.reuseNames()
		w.useAgents(seed)
		w.planFaults(faultTime)
		w.planCrashes(faultTime)
		w.planProcessFaults(faultTime)
	})
}

// Guards against tasks that crash workers again and again, and jobs that fail without cause, while
// messages are delayed.
func TestSimulationWithDelaysAndCrashingTasks(t *testing.T) {
	runSimulations(t, *simDelaySeeds, func(w *simCluster, seed uint64) {
		if seed%2 == 0 {
			w.reuseNames()
		}
		w.useAgents(seed)
		w.planFaults(faultTime)
		w.planProcessFaults(faultTime)
		w.addCrashingTasks()
	})
}

// messageKind is a kind of message with delays of its own, or a fault of a process.
type messageKind string

// The message kinds.
const (
	reportMessage     messageKind = "report"
	departureMessage  messageKind = "departure"
	replyMessage      messageKind = "reply" // to a report
	orderMessage      messageKind = "order"
	orderReplyMessage messageKind = "order-reply"
	callMessage       messageKind = "call" // of an agent to its worker
	callReplyMessage  messageKind = "call-reply"
)

// The faults of processes.
const (
	plannerPause  messageKind = "planner-pause"
	agentPause    messageKind = "agent-pause"
	agentRestart  messageKind = "agent-restart"
	workerSilence messageKind = "worker-silence"
)

// simDelay is how often a kind of message is delayed, and for how long.
type simDelay struct {
	oneIn     int
	low, high time.Duration
}

var simDelaysOf = map[messageKind]simDelay{
	reportMessage:     {40, 100 * time.Millisecond, 4 * time.Second},
	departureMessage:  {4, 100 * time.Millisecond, 6 * time.Second},
	replyMessage:      {40, 100 * time.Millisecond, 2 * time.Second},
	orderMessage:      {30, 100 * time.Millisecond, 3 * time.Second},
	orderReplyMessage: {30, 100 * time.Millisecond, 2 * time.Second},
	callMessage:       {100, 100 * time.Millisecond, 8 * time.Second},
	callReplyMessage:  {100, 100 * time.Millisecond, 2 * time.Second},
}

// simDelays is the state of a world with delayed messages. Each kind has its own random numbers, so
// that a trial without one kind draws the same numbers for the others.
type simDelays struct {
	rng          map[messageKind]*rand.Rand
	without      map[messageKind]bool
	processes    uint64 // of agents, so far
	connections  map[agentConnection]*simAgent
	newest       map[string]ReportOrigin // handled so far, by agent
	shortened    map[WorkerID]string     // how a report last shortened the worker's lease
	pausedEngine *Engine
	pausedUntil  time.Duration // of pausedEngine
}

// agentConnection is a planner's connection to an agent.
type agentConnection struct {
	engine *Engine
	agent  string
}

// useAgents makes the workers' agents processes of their own.
func (w *simCluster) useAgents(seed uint64) {
	w.delays = &simDelays{
		rng: map[messageKind]*rand.Rand{}, without: map[messageKind]bool{},
		connections: map[agentConnection]*simAgent{}, newest: map[string]ReportOrigin{}, shortened: map[WorkerID]string{},
	}
	for _, kind := range []messageKind{
		reportMessage, departureMessage, replyMessage, orderMessage, orderReplyMessage, callMessage, callReplyMessage,
		plannerPause, agentPause, agentRestart, workerSilence,
	} {
		hash := fnv.New64()
		hash.Write([]byte(kind))
		w.delays.rng[kind] = rand.New(rand.NewPCG(seed, hash.Sum64()))
	}
	for kind := range strings.SplitSeq(*simDelayWithout, ",") {
		if kind != "" && w.delays.rng[messageKind(kind)] == nil {
			w.t.Fatalf("unknown message kind or fault %q", kind)
		}
		w.delays.without[messageKind(kind)] = true
	}
	w.agents = make([]*simAgent, len(w.workers))
	for slot, sw := range w.workers {
		w.startAgent(slot)
		w.announceLater(sw, slot)
	}
}

// between returns a random duration.
func (d *simDelays) between(kind messageKind, low, high time.Duration) time.Duration {
	return low + time.Duration(d.rng[kind].Int64N(int64(high-low)))
}

// latency returns the time until a message arrives.
func (d *simDelays) latency(w *simCluster, kind messageKind) time.Duration {
	rule := simDelaysOf[kind]
	usual := d.between(kind, time.Millisecond, 6*time.Millisecond)
	delayed := d.rng[kind].IntN(max(2, rule.oneIn / *simDelayRate)) == 0
	delay := d.between(kind, rule.low, rule.high)
	if !delayed || d.without[kind] || w.faultsEnded {
		return usual
	}
	w.counts["delayed "+string(kind)]++
	return delay
}

// trace logs an event of a worker if it is the traced one.
func (w *simCluster) trace(id WorkerID, format string, args ...any) {
	if *simTracedWorker == string(id) {
		w.t.Logf("%v %s: %s", w.now, id, fmt.Sprintf(format, args...))
	}
}

// announceLater schedules the heartbeats of a worker.
func (w *simCluster) announceLater(sw *simWorker, slot int) {
	w.after(w.delays.between(workerSilence, 20*time.Millisecond, 400*time.Millisecond), func() {
		if sw.dead {
			return
		}
		w.announceLater(sw, slot)
		if a := w.agents[slot]; w.now >= sw.silentUntil {
			a.do(func() { a.handleHeartbeat(sw) })
		}
	})
}

// planProcessFaults schedules pauses of planners, agents and workers, and restarts of agents.
func (w *simCluster) planProcessFaults(end time.Duration) {
	w.planProcessFault(plannerPause, 5, end, func(_ int, d time.Duration) { w.pausePlanner(min(d, 4*time.Second)) })
	w.planProcessFault(agentPause, 12, end, func(slot int, d time.Duration) { w.agents[slot].pausedUntil = w.now + min(d, 4*time.Second) })
	w.planProcessFault(agentRestart, 8, end, func(slot int, d time.Duration) { w.restartAgent(slot, min(d, 2*time.Second)) })
	w.planProcessFault(workerSilence, 15, end, func(slot int, d time.Duration) {
		sw := w.workers[slot]
		sw.silentUntil, sw.carriesOutSilently = w.now+d, d%2 == 0
	})
}

func (w *simCluster) planProcessFault(kind messageKind, maxCount int, end time.Duration, do func(slot int, d time.Duration)) {
	rng := w.delays.rng[kind]
	for range rng.IntN(maxCount) {
		at, slot := time.Duration(rng.Int64N(int64(end))), rng.IntN(len(w.workers))
		d := w.delays.between(kind, 200*time.Millisecond, 8*time.Second)
		if w.delays.without[kind] {
			continue
		}
		w.events = append(w.events, simEvent{at, func() {
			w.counts[string(kind)]++
			do(slot, d)
		}})
	}
}

// restartAgent ends an agent's process. Its messages that are on their way still arrive.
func (w *simCluster) restartAgent(slot int, after time.Duration) {
	if w.agents[slot].over {
		return
	}
	w.agents[slot].over = true
	w.after(after, func() { w.startAgent(slot) })
}

// pausePlanner pauses the planner. What arrives meanwhile is handled afterwards, in any order.
func (w *simCluster) pausePlanner(d time.Duration) {
	w.delays.pausedEngine, w.delays.pausedUntil = w.engine, w.now+d
}

func (w *simCluster) plannerPaused() bool {
	return w.delays != nil && w.delays.pausedEngine == w.engine && w.now < w.delays.pausedUntil
}

// atPlanner makes the planner act as soon as its process runs.
func (w *simCluster) atPlanner(do func()) {
	if !w.plannerPaused() {
		do()
		return
	}
	w.after(w.delays.pausedUntil-w.now+w.delays.between(plannerPause, 0, 30*time.Millisecond), func() { w.atPlanner(do) })
}

// sendDepartureNotice schedules the notice that most draining workers send up to a second before
// their end.
func (w *simCluster) sendDepartureNotice(slot int, endsIn time.Duration) {
	sw := w.workers[slot]
	before := w.delays.between(departureMessage, 0, time.Second)
	if w.delays.rng[departureMessage].IntN(4) == 0 {
		return
	}
	w.after(endsIn-before, func() {
		w.counts["departure notices"]++
		a := w.agents[slot]
		a.do(func() { a.handleDeparture(sw.info.ID) })
	})
}

// loseAgent restarts the agent of a crashed worker in some of the cases.
func (w *simCluster) loseAgent(slot int) {
	if w.delays.rng[departureMessage].IntN(4) == 0 && !w.delays.without[agentRestart] && !w.faultsEnded {
		w.restartAgent(slot, w.delays.between(departureMessage, 50*time.Millisecond, 2*time.Second))
	}
}
