package attempts

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	simRuns = flag.Int("attempts.worlds", 200, "number of randomised simulations")
	simSeed = flag.Uint64("attempts.seed", 1, "seed of the first simulation")
)

const (
	simMaxDelay      = 2 * time.Second
	simMaxAge        = 60 * time.Second
	simClaimTTL      = 200 * time.Second // lifetime of a claim in the store
	simArrivalPeriod = 100 * time.Second // period in which keys are delivered
)

// TestRandomFailures checks the callers' answers against what ran, while entries
// pause, agents restart and the store fails. A longer run:
// go test ./attempts -run RandomFailures -v -attempts.worlds 50000
func TestRandomFailures(t *testing.T) {
	outcomes := map[Outcome]int{}
	executions := 0
	for i := range *simRuns {
		s := newSimulation(t, *simSeed+uint64(i))
		s.run()
		executions += len(s.executed)
		for o, n := range s.outcomes {
			outcomes[o] += n
		}
	}
	t.Logf("%d simulations from seed %d: %d runs; outcomes: done %d, not run %d, unknown %d",
		*simRuns, *simSeed, executions, outcomes[Done], outcomes[NotRun], outcomes[Unknown])
	if outcomes[Done] == 0 || outcomes[NotRun] == 0 || outcomes[Unknown] == 0 {
		t.Fatal("the simulations did not reach all outcomes")
	}
}

type simEvent struct {
	at  time.Time
	run func()
}

// simulation runs the requests of one seed in virtual time.
type simulation struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	now          time.Time
	events       []simEvent
	agents       []*simAgent
	claims       map[string]*simClaim
	storeDown    bool
	executed     map[string]*simDelivery // the delivery that ran, by key
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

// simDelivery is one delivery of a key and the entry that handles it.
type simDelivery struct {
	sim            *simulation
	key            string
	number         int // of the deliveries of the key, from 0
	hasKey         bool
	req            *Request
	own            Claim
	answeredNotRun bool
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
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
		s.restart(a)
		s.agents = append(s.agents, a)
	}
	return s
}

func (s *simulation) restart(a *simAgent) {
	a.incarnation++
	a.table = NewTable(TableConfig{a.incarnation, 4, 40, simMaxAge, time.Second})
}

func (s *simulation) run() {
	for k := range 8 {
		key := string(rune('p' + k))
		hasKey := k < 6
		for n := range 1 + s.rng.IntN(4) {
			if n > 0 && !hasKey {
				break
			}
			at := time.Duration(n) * simArrivalPeriod / 4
			s.schedule(at+s.randomDuration(simArrivalPeriod/4), func() { s.deliver(key, n, hasKey) })
		}
	}
	for range 5 {
		s.schedule(s.randomDuration(2*simArrivalPeriod), func() { s.restart(s.agents[s.rng.IntN(2)]) })
		s.schedule(s.randomDuration(2*simArrivalPeriod), func() { s.storeDown = !s.storeDown })
	}
	for len(s.events) > 0 {
		next := 0
		for i, e := range s.events {
			if e.at.Before(s.events[next].at) {
				next = i
			}
		}
		e := s.events[next]
		s.events = slices.Delete(s.events, next, next+1)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) randomBool(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.events = append(s.events, simEvent{s.now.Add(d), run})
}

// fail ends the test with what is needed to reproduce the failure.
func (s *simulation) fail(d *simDelivery, message string) {
	s.t.Fatalf("seed %d at %v: key %s delivery %d: %s", s.seed, s.now.Sub(time.Unix(10000, 0)), d.key, d.number, message)
}

func (s *simulation) deliver(key string, number int, hasKey bool) {
	s.lastSequence++
	a := s.agents[s.rng.IntN(2)]
	d := &simDelivery{sim: s, key: key, number: number, hasKey: hasKey}
	d.own = Claim{
		ID:    ID{s.now.UnixNano(), s.lastSequence % 3, s.lastSequence, a.incarnation},
		Agent: a.name,
	}
	d.req = NewRequest(RequestConfig{
		HasKey:        hasKey,
		FirstDelivery: number == 0,
		Deadline:      s.now.Add(5*time.Second + s.randomDuration(20*time.Second)),
		PollInterval:  2 * time.Second,
		RetryAfter:    time.Second,
		MaxAge:        simMaxAge,
	}, d.own)
	d.step(Start{})
}

// step passes an event to the delivery, whose entry may pause before it carries out the
// actions. The caller's answer is checked at the time of the decision.
func (d *simDelivery) step(ev Event) {
	s := d.sim
	actions := d.req.Step(s.now, ev)
	for _, act := range actions {
		if f, ok := act.(Finished); ok {
			d.checkFinished(f)
		}
	}
	pause := time.Duration(0)
	if s.randomBool(0.03) {
		pause = s.randomDuration(2 * simClaimTTL)
	}
	s.schedule(pause, func() {
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

// compareAndSwap is the store's compare-and-swap. current is nil if the key has no
// claim.
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
		// From now on a later delivery may run, before this one is answered.
		if d.sim.executed[d.key] != nil {
			d.sim.fail(d, "released the claim of a key that ran")
		}
		delete(d.sim.claims, d.key)
	default:
		d.sim.claims[d.key] = &simClaim{*next, d.sim.now}
	}
	return ClaimWritten
}

// callStore calls the store. The reply may be lost, and the write may take effect long
// after the call was given up.
func (d *simDelivery) callStore(op func(*simClaim) ClaimResult) {
	s := d.sim
	apply := func() ClaimReply {
		c := s.claims[d.key]
		if c != nil && s.now.Sub(c.at) >= simClaimTTL {
			delete(s.claims, d.key)
			c = nil
		}
		ev := ClaimReply{Result: op(c)}
		if ev.Result == ClaimConflict {
			ev.Claim = c.claim
		}
		return ev
	}
	switch {
	case s.storeDown, s.randomBool(0.05):
		s.schedule(s.randomDuration(simMaxDelay), func() { d.step(ClaimReply{Result: ClaimUnavailable}) })
	case s.randomBool(0.1):
		s.schedule(s.randomDuration(5*simMaxDelay), func() { apply() })
		s.schedule(s.randomDuration(simMaxDelay), func() { d.step(ClaimReply{Result: ClaimUnavailable}) })
	default:
		s.schedule(s.randomDuration(simMaxDelay), func() {
			ev := apply()
			s.schedule(s.randomDuration(simMaxDelay), func() { d.step(ev) })
		})
	}
}

func (s *simulation) agent(name string) *simAgent {
	return s.agents[slices.IndexFunc(s.agents, func(a *simAgent) bool { return a.name == name })]
}

// sendBegin delivers the attempt late or not at all. The entry may lose the connection
// before.
func (d *simDelivery) sendBegin(c Claim) {
	s, a := d.sim, d.sim.agent(c.Agent)
	if s.randomBool(0.2) {
		s.schedule(s.randomDuration(simMaxDelay), func() { d.step(ConnectionLost{c.ID}) })
	}
	if s.randomBool(0.1) {
		return
	}
	s.schedule(s.randomDuration(4*simMaxDelay), func() {
		result, answer := a.table.Begin(s.now, c.ID)
		if result != BeginRun {
			d.sendBeginReply(BeginReply{ID: c.ID, Result: result, Answer: answer})
			return
		}
		table := a.table
		s.schedule(s.randomDuration(3*simMaxDelay), func() { d.execute(a, table, c) })
	})
}

// execute hands the attempt to the target, unless the agent restarted meanwhile.
func (d *simDelivery) execute(a *simAgent, table *Table, c Claim) {
	s := d.sim
	if a.table != table {
		return
	}
	if s.randomBool(0.2) {
		table.RecordNotRun(c.ID)
		d.sendBeginReply(BeginReply{ID: c.ID, Result: BeginRefuse})
		return
	}
	d.recordExecution()
	s.schedule(s.randomDuration(4*simMaxDelay), func() {
		if s.randomBool(0.1) {
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
	s, a := d.sim, d.sim.agent(c.Agent)
	for range s.rng.IntN(3) {
		s.schedule(s.randomDuration(simMaxDelay), func() {
			status, answer := a.table.Resolve(c.ID)
			s.schedule(s.randomDuration(simMaxDelay), func() { d.step(ResolveReply{c.ID, status, answer}) })
		})
	}
}

// recordExecution checks that the key may run and records that it did.
func (d *simDelivery) recordExecution() {
	if other := d.sim.executed[d.key]; other != nil {
		d.sim.fail(d, "ran a second time")
	}
	if d.answeredNotRun {
		d.sim.fail(d, "ran after NotRun was returned")
	}
	d.sim.executed[d.key] = d
}

// checkFinished checks the answer to the caller against what ran.
func (d *simDelivery) checkFinished(f Finished) {
	d.sim.outcomes[f.Outcome]++
	executed := d.sim.executed[d.key]
	switch f.Outcome {
	case Done:
		if executed == nil || string(f.Answer) != "answer to "+d.key {
			d.sim.fail(d, "returned Done without a run or with a wrong answer")
		}
	case NotRun:
		d.answeredNotRun = true
		if executed != nil && executed.number <= d.number {
			d.sim.fail(d, "returned NotRun although the key ran")
		}
	}
}
