package attempts

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	simWorlds = flag.Int("attempts.worlds", 200, "number of randomised worlds")
	simSeed   = flag.Uint64("attempts.seed", 1, "seed of the first world")
)

const (
	simDelay    = 2 * time.Second
	simMaxAge   = 60 * time.Second
	simClaim    = 200 * time.Second // a claim's life in the store
	simArrivals = 100 * time.Second // keys are delivered again for so long
)

// TestRandomWorlds delivers requests, most of their keys several times, through
// entries that pause, agents that restart and a store that fails, and holds what
// callers are told against what ran. A longer run:
// go test ./attempts -run RandomWorlds -v -attempts.worlds 50000
func TestRandomWorlds(t *testing.T) {
	sum := map[Outcome]int{}
	runs := 0
	for i := range *simWorlds {
		w := newWorld(t, *simSeed+uint64(i))
		w.run()
		runs += len(w.ran)
		for o, n := range w.told {
			sum[o] += n
		}
	}
	t.Logf("%d worlds from seed %d: %d runs; told done %d, not run %d, unknown %d",
		*simWorlds, *simSeed, runs, sum[Done], sum[NotRun], sum[Unknown])
	if sum[Done] == 0 || sum[NotRun] == 0 || sum[Unknown] == 0 {
		t.Fatal("the worlds did not reach all outcomes")
	}
}

type simEvent struct {
	at  time.Time
	run func()
}

type world struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	now    time.Time
	events []simEvent
	agents []*simAgent
	claims map[string]*simClaimed
	down   bool
	ran    map[string]*simDelivery // what ran, by key
	told   map[Outcome]int
	next   uint64
}

// simClaimed is a key's claim in the store.
type simClaimed struct {
	claim Claim
	at    time.Time
}

type simAgent struct {
	table       *Table
	incarnation uint64
	name        string
}

type simDelivery struct {
	w      *world
	key    string
	number int // of the key's deliveries
	keyed  bool
	req    *Request
	own    Claim
	denied bool // told not run
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t:      t,
		seed:   seed,
		rng:    rand.New(rand.NewPCG(seed, 2)),
		now:    time.Unix(10000, 0),
		claims: map[string]*simClaimed{},
		ran:    map[string]*simDelivery{},
		told:   map[Outcome]int{},
	}
	for _, name := range []string{"a", "b"} {
		a := &simAgent{name: name}
		w.restart(a)
		w.agents = append(w.agents, a)
	}
	return w
}

func (w *world) restart(a *simAgent) {
	a.incarnation++
	a.table = NewTable(TableConfig{a.incarnation, 4, 40, simMaxAge, time.Second})
}

func (w *world) run() {
	for k := range 8 {
		key := string(rune('p' + k))
		keyed := k < 6
		for n := range 1 + w.rng.IntN(4) {
			if n > 0 && !keyed {
				break
			}
			at := time.Duration(n) * simArrivals / 4
			w.after(at+w.within(simArrivals/4), func() { w.deliver(key, n, keyed) })
		}
	}
	for range 5 {
		w.after(w.within(2*simArrivals), func() { w.restart(w.agents[w.rng.IntN(2)]) })
		w.after(w.within(2*simArrivals), func() { w.down = !w.down })
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

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) within(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *world) after(d time.Duration, run func()) {
	w.events = append(w.events, simEvent{w.now.Add(d), run})
}

func (w *world) fail(d *simDelivery, what string) {
	w.t.Fatalf("seed %d at %v: key %s delivery %d: %s", w.seed, w.now.Sub(time.Unix(10000, 0)), d.key, d.number, what)
}

func (w *world) deliver(key string, number int, keyed bool) {
	w.next++
	a := w.agents[w.rng.IntN(2)]
	d := &simDelivery{w: w, key: key, number: number, keyed: keyed}
	d.own = Claim{
		ID:    ID{w.now.UnixNano(), w.next % 3, w.next, a.incarnation},
		Agent: a.name,
	}
	d.req = NewRequest(RequestConfig{
		HasKey:        keyed,
		FirstDelivery: number == 0,
		Deadline:      w.now.Add(5*time.Second + w.within(20*time.Second)),
		PollInterval:  2 * time.Second,
		RetryAfter:    time.Second,
		MaxAge:        simMaxAge,
	}, d.own)
	d.step(Start{})
}

// step runs the delivery's entry, which may be paused before it acts. What the
// caller is told is checked as of the decision.
func (d *simDelivery) step(ev Event) {
	w := d.w
	actions := d.req.HandleEvent(w.now, ev)
	for _, act := range actions {
		if f, ok := act.(Finished); ok {
			d.finished(f)
		}
	}
	pause := time.Duration(0)
	if w.chance(0.03) {
		pause = w.within(2 * simClaim)
	}
	w.after(pause, func() {
		for _, act := range actions {
			d.act(act)
		}
	})
}

func (d *simDelivery) act(act Action) {
	switch act := act.(type) {
	case WriteClaim:
		d.store(func(c *simClaimed) ClaimResult { return d.put(c, nil, &act.Claim) })
	case ReplaceClaim:
		d.store(func(c *simClaimed) ClaimResult { return d.put(c, &act.Old, &act.New) })
	case ReleaseClaim:
		d.store(func(c *simClaimed) ClaimResult { return d.put(c, &act.Claim, nil) })
	case SendBegin:
		d.begin(act.Claim)
	case SendResolve:
		d.resolve(act.Claim)
	case WakeAt:
		d.w.after(act.At.Sub(d.w.now), func() { d.step(Wake{}) })
	}
}

// put is the store's compare-and-swap; current is nil if the key has no claim.
func (d *simDelivery) put(current *simClaimed, old, next *Claim) ClaimResult {
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
		if d.w.ran[d.key] != nil {
			d.w.fail(d, "released a claim that ran")
		}
		delete(d.w.claims, d.key)
	default:
		d.w.claims[d.key] = &simClaimed{*next, d.w.now}
	}
	return ClaimWritten
}

// store calls the store: the reply may be lost, and the write may take effect
// long after it was given up.
func (d *simDelivery) store(op func(*simClaimed) ClaimResult) {
	w := d.w
	apply := func() ClaimReply {
		c := w.claims[d.key]
		if c != nil && w.now.Sub(c.at) >= simClaim {
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
	case w.down, w.chance(0.05):
		w.after(w.within(simDelay), func() { d.step(ClaimReply{Result: ClaimUnavailable}) })
	case w.chance(0.1):
		w.after(w.within(5*simDelay), func() { apply() })
		w.after(w.within(simDelay), func() { d.step(ClaimReply{Result: ClaimUnavailable}) })
	default:
		w.after(w.within(simDelay), func() {
			ev := apply()
			w.after(w.within(simDelay), func() { d.step(ev) })
		})
	}
}

func (w *world) agent(name string) *simAgent {
	return w.agents[slices.IndexFunc(w.agents, func(a *simAgent) bool { return a.name == name })]
}

// begin delivers the attempt late or not at all; the entry may give up before.
func (d *simDelivery) begin(c Claim) {
	w, a := d.w, d.w.agent(c.Agent)
	if w.chance(0.2) {
		w.after(w.within(simDelay), func() { d.step(ConnectionLost{c.ID}) })
	}
	if w.chance(0.1) {
		return
	}
	w.after(w.within(4*simDelay), func() {
		verdict, answer := a.table.Begin(w.now, c.ID)
		if verdict != BeginRun {
			d.begun(BeginReply{ID: c.ID, Result: verdict, Answer: answer})
			return
		}
		table := a.table
		w.after(w.within(3*simDelay), func() { d.execute(a, table, c) })
	})
}

// execute hands the attempt to the target, unless the agent restarted meanwhile.
func (d *simDelivery) execute(a *simAgent, table *Table, c Claim) {
	w := d.w
	if a.table != table {
		return
	}
	if w.chance(0.2) {
		table.RecordNotRun(c.ID)
		d.begun(BeginReply{ID: c.ID, Result: BeginRefuse})
		return
	}
	d.ranNow()
	w.after(w.within(4*simDelay), func() {
		if w.chance(0.1) {
			table.RecordLostAnswer(c.ID)
			d.begun(BeginReply{ID: c.ID, Interrupted: true})
			return
		}
		answer := []byte("answer to " + d.key)
		table.RecordAnswer(c.ID, answer)
		d.begun(BeginReply{ID: c.ID, Answer: answer})
	})
}

func (d *simDelivery) begun(ev BeginReply) {
	if d.w.chance(0.8) {
		d.w.after(d.w.within(simDelay), func() { d.step(ev) })
	}
}

func (d *simDelivery) resolve(c Claim) {
	w, a := d.w, d.w.agent(c.Agent)
	for range w.rng.IntN(3) {
		w.after(w.within(simDelay), func() {
			status, answer := a.table.Resolve(c.ID)
			w.after(w.within(simDelay), func() { d.step(ResolveReply{c.ID, status, answer}) })
		})
	}
}

func (d *simDelivery) ranNow() {
	if other := d.w.ran[d.key]; other != nil {
		d.w.fail(d, "ran a second time")
	}
	if d.denied {
		d.w.fail(d, "ran after not run was told")
	}
	d.w.ran[d.key] = d
}

func (d *simDelivery) finished(f Finished) {
	d.w.told[f.Outcome]++
	ran := d.w.ran[d.key]
	switch f.Outcome {
	case Done:
		if ran == nil || string(f.Answer) != "answer to "+d.key {
			d.w.fail(d, "told done")
		}
	case NotRun:
		d.denied = true
		if ran != nil && ran.number <= d.number {
			d.w.fail(d, "told not run although it ran")
		}
	}
}
