package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lateOrderVariant is a set of rules to compare. The others than the default show what a rule is
// worth or what its absence costs.
type lateOrderVariant func(*Engine)

func defaultLateOrder(*Engine)     {}
func withoutLateOrder(e *Engine)   { e.params.Policy.LateOrder = false }
func unlimitedLateOrder(e *Engine) { e.lateOrder.share = 1e6 }
func ignoreAccounts(e *Engine)     { e.lateOrder.granularity = 0 }

// neverLateFirst lets late units yield until they are useless.
func neverLateFirst(e *Engine) {
	for priority := range 3 {
		e.lateOrder.debt[queueGroup{service: "s", priority: priority}] = 1e18
	}
}

func (r loadResult) add(o loadResult) loadResult {
	return loadResult{r.inTime + o.inTime, r.late + o.late, r.useless + o.useless}
}

// useful returns the number of jobs that were in time or late but of use.
func (r loadResult) useful() int { return r.inTime + r.late }

func (r loadResult) total() int { return r.useful() + r.useless }

// sumResults runs a load with several seeds and returns the sums by queue.
func sumResults(t *testing.T, seeds uint64, variant lateOrderVariant, span time.Duration, load func() []*loadQueue) map[string]loadResult {
	sums := map[string]loadResult{}
	for seed := range seeds {
		s := newLoadSim(t, seed, DefaultPolicy())
		variant(s.e)
		queues := load()
		s.run(span, queues...)
		for _, q := range queues {
			sums[q.name] = sums[q.name].add(s.resultOf(q.name))
		}
	}
	return sums
}

func urgentGangs(every func(time.Duration) time.Duration) *loadQueue {
	return &loadQueue{name: "urgent", members: 5, length: 2100 * time.Millisecond, stretch: 1.5, every: every}
}

func longGangs(every func(time.Duration) time.Duration) *loadQueue {
	return &loadQueue{name: "long", priority: 1, members: 7, length: 7200 * time.Millisecond, stretch: 3, every: every}
}

// Guards against useless urgent gangs that keep all long gangs from running, and against late gangs
// that go first until hardly any gang is in time. Loads: urgent gangs of 2.1 s at 8 times the
// capacity for 8 s and then at 0.4 times, or at 2 times for 40 s, each beside long gangs of 7.2 s at
// half of the capacity.
func TestFloodOfUrgentGangs(t *testing.T) {
	for _, test := range []struct {
		name   string
		span   time.Duration
		urgent func(at time.Duration) time.Duration
	}{
		{"burst", 30 * time.Second, func(at time.Duration) time.Duration {
			if at < 8*time.Second {
				return 33 * time.Millisecond
			}
			return 600 * time.Millisecond
		}},
		{"lasting", 40 * time.Second, steady(130 * time.Millisecond)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			measure := func(name string, variant lateOrderVariant) (urgent, long loadResult) {
				sums := sumResults(t, 2, variant, test.span, func() []*loadQueue {
					return []*loadQueue{urgentGangs(test.urgent), longGangs(steady(2500 * time.Millisecond))}
				})
				t.Logf("%-22s urgent: %v; long: %v", name, sums["urgent"], sums["long"])
				return sums["urgent"], sums["long"]
			}
			offUrgent, offLong := measure("without late_order", withoutLateOrder)
			neverUrgent, _ := measure("late units never first", neverLateFirst)
			unlimitedUrgent, _ := measure("late first, unlimited", unlimitedLateOrder)
			urgent, long := measure("late_order", defaultLateOrder)
			c.Check(offLong.useful() < long.total()/10, qt.IsTrue, qt.Commentf("the load must starve long gangs without the rules"))
			c.Check(long.useful() > long.total()/2, qt.IsTrue)
			c.Check(urgent.inTime > unlimitedUrgent.inTime, qt.IsTrue, qt.Commentf("the limit must prevent the domino effect"))
			c.Check(urgent.inTime >= neverUrgent.inTime*85/100, qt.IsTrue)
			c.Check(urgent.useful() >= offUrgent.useful()*90/100, qt.IsTrue)
		})
	}
}

// Guards against an account that suffers from the flood of another one of the same priority. Loads:
// gangs of 2.1 s at 2.7 times the capacity beside 0.3 times of another account, and gangs of 7.2 s
// at 3 times the capacity beside 0.3 times.
func TestFloodOfOneAccount(t *testing.T) {
	for _, test := range []struct {
		name         string
		span         time.Duration
		newQueue     func(func(time.Duration) time.Duration) *loadQueue
		seeds        uint64
		flood, other time.Duration
	}{
		{"urgent", 30 * time.Second, urgentGangs, 4, 100 * time.Millisecond, time.Second},
		{"long", 60 * time.Second, longGangs, 10, 600 * time.Millisecond, 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			measure := func(name string, variant lateOrderVariant) (flood, other loadResult) {
				sums := sumResults(t, test.seeds, variant, test.span, func() []*loadQueue {
					f, o := test.newQueue(steady(test.flood)), test.newQueue(steady(test.other))
					f.name, f.account, o.name, o.account = "flood", "flood", "other", "other"
					return []*loadQueue{f, o}
				})
				t.Logf("%-22s flood: %v; other: %v", name, sums["flood"], sums["other"])
				return sums["flood"], sums["other"]
			}
			_, ignored := measure("accounts ignored", ignoreAccounts)
			flood, other := measure("late_order", defaultLateOrder)
			c.Check(2*other.inTime >= 3*ignored.inTime, qt.IsTrue)
			c.Check(3*other.useful()*flood.total() >= 4*flood.useful()*other.total(), qt.IsTrue, qt.Commentf("the other account must get a larger part served"))
		})
	}
}

// Guards against a late gang that starves behind a stream of gangs in time, and against a stream that
// becomes late because of it. Load: gangs of 2.1 s at the capacity, all in time but always some
// waiting, beside a gang that is late from the start and is of use for some more seconds.
func TestLateGangBesideStreamInTime(t *testing.T) {
	c := qt.New(t)
	measure := func(name string, variant lateOrderVariant) (late, stream loadResult) {
		s := newLoadSim(t, 0, DefaultPolicy())
		s.exact = true
		variant(s.e)
		inTime := urgentGangs(nil)
		inTime.stretch = 3
		lateGang := &loadQueue{name: "late", members: 5, length: 2100 * time.Millisecond, stretch: 1.5, age: 4 * time.Second}
		for i := range 300 {
			// Four gangs each 1.1 s are what fits; four more at 3 s are the backlog.
			if m := i % 11; m == 0 || m == 3 || m == 6 || m == 8 {
				s.submitTo(inTime)
			}
			if i == 30 {
				for range 4 {
					s.submitTo(inTime)
				}
			}
			if i == 60 {
				s.submitTo(lateGang)
			}
			s.step()
		}
		s.run(0)
		late, stream = s.resultOf("late"), s.resultOf("urgent")
		t.Logf("%-22s late gang: %v; stream: %v", name, late, stream)
		return late, stream
	}
	off, _ := measure("without late_order", withoutLateOrder)
	c.Check(off.useless, qt.Equals, 1, qt.Commentf("the load must starve the late gang without the rules"))
	late, stream := measure("late_order", defaultLateOrder)
	c.Check(late.useless, qt.Equals, 0)
	c.Check(stream.inTime, qt.Equals, stream.total())
}

// Guards against a unit that waits past its last useful start while a unit of its priority that
// came later and has more time left starts. A unit in time may start first while the limit for late
// units is used up. Loads: urgent gangs at about the capacity and at 2.4 times the capacity, beside a
// gang every 3 s that is late from the start.
func TestNoUnitIsOvertakenPastItsLastUsefulStart(t *testing.T) {
	for _, test := range []struct {
		name  string
		every time.Duration
	}{
		{"moderate", 290 * time.Millisecond},
		{"flood", 130 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(5) {
				s := newLoadSim(t, seed, DefaultPolicy())
				lateGangs := urgentGangs(steady(3 * time.Second))
				lateGangs.name, lateGangs.age = "late", 4*time.Second
				s.run(30*time.Second, urgentGangs(steady(test.every)), lateGangs)
				t.Logf("seed %d: %d units passed their last useful start, %d of them overtaken within the limit", seed, s.expired, s.overtakenByLimit)
				c.Check(s.overtaken, qt.HasLen, 0)
			}
		})
	}
}
