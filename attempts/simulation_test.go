package attempts

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	simRuns = flag.Int("attempts.worlds", 200, "number of randomised worlds")
	simSeed = flag.Uint64("attempts.seed", 1, "seed of the first world")
)

const (
	simMaxDelay      = 2 * time.Second
	simMaxAge        = 60 * time.Second
	simClaimTTL      = 200 * time.Second // a claim's life in the store
	simArrivalPeriod = 100 * time.Second // keys are delivered again for so long
)

// TestRandomFailures delivers requests, most of their keys several times, through
// entries that pause, agents that restart and a store that fails, and holds what
// callers are told against what ran. A longer run:
// go test ./attempts -run RandomWorlds -v -attempts.worlds 50000
func TestRandomFailures(t *testing.T) {
	sum := map[Outcome]int{}
	runs := 0
	for i := range *simRuns {
		w := newSimulation(t, *simSeed+uint64(i))
		w.run()
		runs += len(w.executed)
		for o, n := range w.outcomes {
			sum[o] += n
		}
	}
	t.Logf("%d worlds from seed %d: %d runs; told done %d, not run %d, unknown %d",
		*simRuns, *simSeed, runs, sum[Done], sum[NotRun], sum[Unknown])
	if sum[Done] == 0 || sum[NotRun] == 0 || sum[Unknown] == 0 {
		t.Fatal("the worlds did not reach all outcomes")
	}
}

type simEvent struct {
	at  time.Time
	run func()
}

type simulation struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	now          time.Time
	events       []simEvent
	agents       []*simAgent
	claims       map[string]*simClaim
	storeDown    bool
	executed     map[string]*simDelivery // what ran, by key
	outcomes     map[Outcome]int
	lastSequence uint64
}

// simClaim is a key's claim in the store.
type simClaim struct {
	claim Claim
	at    time.Time
}

type simAgent struct {
	table       *Table
	incarnation uint64
	name        string
}

type simDelivery struct {
	sim        *simulation
	key        string
	number     int // of the key's deliveries
	keyed      bool
	req        *Request
	own        Claim
	toldNotRun bool // told not run
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{
		t:        t,
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 2)),
		now:      time.Unix(10000, 0),
		claims:   map[string]*simClaim{},
		executed: map[string]*simDelivery{},
		outcomes: map[Outcome]int{},
	}
	for _, name := range []string{"a", "b"} {
		a := &simAgent{name: name}
		w.restart(a)
		w.agents = append(w.agents, a)
	}
	return w
}

func (w *simulation) restart(a *simAgent) {
	a.incarnation++
	a.table = NewTable(TableConfig{a.incarnation, 4, 40, simMaxAge, time.Second})
}

func (w *simulation) run() {
	for k := range 8 {
		key := string(rune('p' + k))
		keyed := k < 6
		for n := range 1 + w.rng.IntN(4) {
			if n > 0 && !keyed {
				break
			}
			at := time.Duration(n) * simArrivalPeriod / 4
			w.schedule(at+w.randomDuration(simArrivalPeriod/4), func() { w.deliver(key, n, keyed) })
		}
	}
	for range 5 {
		w.schedule(w.randomDuration(2*simArrivalPeriod), func() { w.restart(w.agents[w.rng.IntN(2)]) })
		w.schedule(w.randomDuration(2*simArrivalPeriod), func() { w.storeDown = !w.storeDown })
	}
	for len(w.events) > 0 {
		next := 0
		for i, e := range w.events {
			if e.at.Before(w.events[next].at) {
				next = i
			}
		}
		e := w.events[next]
		w.events = slices.Delete(w.events, next, next+1)
		w.now = e.at
		e.run()
	}
}

func (w *simulation) randomBool(p float64) bool { return w.rng.Float64() < p }

func (w *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *simulation) schedule(d time.Duration, run func()) {
	w.events = append(w.events, simEvent{w.now.Add(d), run})
}

func (w *simulation) fail(d *simDelivery, what string) {
	w.t.Fatalf("seed %d at %v: key %s delivery %d: %s", w.seed, w.now.Sub(time.Unix(10000, 0)), d.key, d.number, what)
}

func (w *simulation) deliver(key string, number int, keyed bool) {
	w.lastSequence++
	a := w.agents[w.rng.IntN(2)]
	d := &simDelivery{sim: w, key: key, number: number, keyed: keyed}
	d.own = Claim{
		ID:    ID{w.now.UnixNano(), w.lastSequence % 3, w.lastSequence, a.incarnation},
		Agent: a.name,
	}
	d.req = NewRequest(RequestConfig{
		HasKey:        keyed,
		FirstDelivery: number == 0,
		Deadline:      w.now.Add(5*time.Second + w.randomDuration(20*time.Second)),
		PollInterval:  2 * time.Second,
		RetryAfter:    time.Second,
		MaxAge:        simMaxAge,
	}, d.own)
	d.step(Start{})
}

// step runs the delivery's entry, which may be paused before it acts. What the
// caller is told is checked as of the decision.
func (d *simDelivery) step(ev Event) {
	w := d.sim
	actions := d.req.HandleEvent(w.now, ev)
	for _, act := range actions {
		if f, ok := act.(Finished); ok {
			d.checkFinished(f)
		}
	}
	pause := time.Duration(0)
	if w.randomBool(0.03) {
		pause = w.randomDuration(2 * simClaimTTL)
	}
	w.schedule(pause, func() {
		for _, act := range actions {
			d.perform(act)
		}
	})
}

func (d *simDelivery) perform(act Action) {
	switch act := act.(type) {
	case WriteClaim:
		d.callStore(func(c *simClaim) ClaimResult { return d.compareAndSwap(c, nil, &act.Claim) })
	case ReplaceClaim:
		d.callStore(func(c *simClaim) ClaimResult { return d.compareAndSwap(c, &act.Old, &act.New) })
	case ReleaseClaim:
		d.callStore(func(c *simClaim) ClaimResult { return d.compareAndSwap(c, &act.Claim, nil) })
	case SendBegin:
		d.sendBegin(act.Claim)
	case SendResolve:
		d.sendResolve(act.Claim)
	case WakeAt:
		d.sim.schedule(act.At.Sub(d.sim.now), func() { d.step(Wake{}) })
	}
}

// compareAndSwap is the store's compare-and-swap; current is nil if the key has no claim.
func (d *simDelivery) compareAndSwap(current *simClaim, old, next *Claim) ClaimResult {
	switch {
	case old == nil && current != nil, old != nil && current != nil && current.claim != *old:
		if next != nil && current.claim == *next {
			return ClaimWritten
		}
		return ClaimConflict
	case old != nil && current == nil:
		return ClaimGone
	case next == nil:
		// From here a later delivery may run, before this one is told.
		if d.sim.executed[d.key] != nil {
			d.sim.fail(d, "released a claim that ran")
		}
		delete(d.sim.claims, d.key)
	default:
		d.sim.claims[d.key] = &simClaim{*next, d.sim.now}
	}
	return ClaimWritten
}

// callStore calls the callStore: the reply may be lost, and the write may take effect
// long after it was given up.
func (d *simDelivery) callStore(op func(*simClaim) ClaimResult) {
	w := d.sim
	apply := func() ClaimReply {
		c := w.claims[d.key]
		if c != nil && w.now.Sub(c.at) >= simClaimTTL {
			delete(w.claims, d.key)
			c = nil
		}
		ev := ClaimReply{Result: op(c)}
		if ev.Result == ClaimConflict {
			ev.Claim = c.claim
		}
		return ev
	}
	switch {
	case w.storeDown, w.randomBool(0.05):
		w.schedule(w.randomDuration(simMaxDelay), func() { d.step(ClaimReply{Result: ClaimUnavailable}) })
	case w.randomBool(0.1):
		w.schedule(w.randomDuration(5*simMaxDelay), func() { apply() })
		w.schedule(w.randomDuration(simMaxDelay), func() { d.step(ClaimReply{Result: ClaimUnavailable}) })
	default:
		w.schedule(w.randomDuration(simMaxDelay), func() {
			ev := apply()
			w.schedule(w.randomDuration(simMaxDelay), func() { d.step(ev) })
		})
	}
}

func (w *simulation) agent(name string) *simAgent {
	return w.agents[slices.IndexFunc(w.agents, func(a *simAgent) bool { return a.name == name })]
}

// sendBegin delivers the attempt late or not at all; the entry may give up before.
func (d *simDelivery) sendBegin(c Claim) {
	w, a := d.sim, d.sim.agent(c.Agent)
	if w.randomBool(0.2) {
		w.schedule(w.randomDuration(simMaxDelay), func() { d.step(ConnectionLost{c.ID}) })
	}
	if w.randomBool(0.1) {
		return
	}
	w.schedule(w.randomDuration(4*simMaxDelay), func() {
		verdict, answer := a.table.Begin(w.now, c.ID)
		if verdict != BeginRun {
			d.sendBeginReply(BeginReply{ID: c.ID, Result: verdict, Answer: answer})
			return
		}
		table := a.table
		w.schedule(w.randomDuration(3*simMaxDelay), func() { d.execute(a, table, c) })
	})
}

// execute hands the attempt to the target, unless the agent restarted meanwhile.
func (d *simDelivery) execute(a *simAgent, table *Table, c Claim) {
	w := d.sim
	if a.table != table {
		return
	}
	if w.randomBool(0.2) {
		table.RecordNotRun(c.ID)
		d.sendBeginReply(BeginReply{ID: c.ID, Result: BeginRefuse})
		return
	}
	d.recordExecution()
	w.schedule(w.randomDuration(4*simMaxDelay), func() {
		if w.randomBool(0.1) {
			table.RecordLostAnswer(c.ID)
			d.sendBeginReply(BeginReply{ID: c.ID, Interrupted: true})
			return
		}
		answer := []byte("answer to " + d.key)
		table.RecordAnswer(c.ID, answer)
		d.sendBeginReply(BeginReply{ID: c.ID, Answer: answer})
	})
}

func (d *simDelivery) sendBeginReply(ev BeginReply) {
	if d.sim.randomBool(0.8) {
		d.sim.schedule(d.sim.randomDuration(simMaxDelay), func() { d.step(ev) })
	}
}

func (d *simDelivery) sendResolve(c Claim) {
	w, a := d.sim, d.sim.agent(c.Agent)
	for range w.rng.IntN(3) {
		w.schedule(w.randomDuration(simMaxDelay), func() {
			status, answer := a.table.Resolve(c.ID)
			w.schedule(w.randomDuration(simMaxDelay), func() { d.step(ResolveReply{c.ID, status, answer}) })
		})
	}
}

func (d *simDelivery) recordExecution() {
	if other := d.sim.executed[d.key]; other != nil {
		d.sim.fail(d, "ran a second time")
	}
	if d.toldNotRun {
		d.sim.fail(d, "ran after not run was told")
	}
	d.sim.executed[d.key] = d
}

func (d *simDelivery) checkFinished(f Finished) {
	d.sim.outcomes[f.Outcome]++
	ran := d.sim.executed[d.key]
	switch f.Outcome {
	case Done:
		if ran == nil || string(f.Answer) != "answer to "+d.key {
			d.sim.fail(d, "told done")
		}
	case NotRun:
		d.toldNotRun = true
		if ran != nil && ran.number <= d.number {
			d.sim.fail(d, "told not run although it ran")
		}
	}
}
