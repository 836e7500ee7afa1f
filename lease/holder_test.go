package lease_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

const duty = domain + "/planner"

// bench is a stand-in with candidates for one duty.
type bench struct {
	srv *standin.Server
	url string
	// watchIdle is the clients' of Sessions.
	watchIdle time.Duration
}

func newBench(t *testing.T, opts standin.Options) *bench {
	opts.ProgressInterval = 20 * time.Millisecond
	srv := standin.New(opts)
	web := httptest.NewServer(srv)
	t.Cleanup(func() {
		srv.Close()
		web.Close()
	})
	return &bench{srv: srv, url: web.URL, watchIdle: 200 * time.Millisecond}
}

// run starts a candidate and returns it with the channel of its changes.
func (b *bench) run(t *testing.T, ttl time.Duration, change ...func(*lease.CandidateOptions)) (*lease.Candidate, <-chan lease.Leadership) {
	store := store.NewClient(store.Options{
		Endpoints:        []string{b.url},
		CallTimeout:      200 * time.Millisecond,
		WatchIdleTimeout: 200 * time.Millisecond,
	})
	gained := make(chan lease.Leadership, 100)
	opts := lease.CandidateOptions{Store: store, Election: duty, Instance: t.Name(), TTL: ttl}
	opts.OnChange = func(held lease.Leadership, ok bool) {
		if ok {
			gained <- held
		}
	}
	for _, f := range change {
		f(&opts)
	}
	if inSessions {
		opts.Session = b.session(opts)
	}
	h := lease.StartCandidate(opts)
	t.Cleanup(func() {
		_ = h.Resign(context.Background())
		if opts.Session != nil {
			_ = opts.Session.Close(context.Background())
		}
		store.Close()
	})
	return h, gained
}

// The planner's process stops as planned. Its successor must not wait for the
// lease, of ten minutes here, to lapse, nor ask the store again and again.
func TestHolderResigns(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	first, gained := b.run(t, 10*time.Minute)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	_, ok := first.Current()
	c.Assert(ok, qt.IsTrue)
	second, gained := b.run(t, 10*time.Minute)
	for b.srv.Counters().Watch == 0 {
		time.Sleep(time.Millisecond)
	}
	waiting := b.srv.Counters()
	c.Assert(first.Resign(context.Background()), qt.IsNil)
	_, ok = first.Current()
	c.Assert(ok, qt.IsFalse)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(2))
	_, ok = second.Current()
	c.Assert(ok, qt.IsTrue)
	used := b.srv.Counters().Total() - waiting.Total()
	c.Assert(used <= 7, qt.IsTrue, qt.Commentf("%d calls for a change of holder", used))
}

// Every write's reply is lost once while the duty is taken. The candidate must
// recognise its own writes instead of waiting for a holder that is itself.
func TestHolderLostReplies(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	for n := range 4 {
		b.srv.SetFaults(standin.Faults{LoseReplies: n + 1})
		h, gained := b.run(t, 10*time.Minute)
		c.Assert((<-gained).Epoch > uint64(n), qt.IsTrue)
		c.Assert(h.Resign(context.Background()), qt.IsNil)
	}
}

// The machine is suspended. On waking, and before any renewal could fail, the
// process must see that its lease has lapsed.
func TestHolderSuspended(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	var clock atomic.Int64
	h, gained := b.run(t, 10*time.Minute, func(o *lease.CandidateOptions) {
		o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
	})
	<-gained
	_, ok := h.Current()
	c.Assert(ok, qt.IsTrue)
	clock.Add(int64(10 * time.Minute))
	_, ok = h.Current()
	c.Assert(ok, qt.IsFalse)
}

// The store is restored from a backup, its epochs go back, and agents refuse
// the planner's orders as those of an older one.
func TestHolderObserves(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	h, gained := b.run(t, 10*time.Minute)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	h.ObserveEpoch(41)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(42))
}

// Two candidates, restarted now and then, and a store with every fault: never
// two valid at the same time, and every holding has a higher epoch. Two of the
// outages outlast the leases. Four times the one that holds the duty resigns
// while the store is well, and the other one must take over.
func TestHoldersUnderFaults(t *testing.T) {
	const seed, rounds = 1, 60
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	var mu sync.Mutex
	var epochs []uint64
	run := func() *lease.Candidate {
		h, _ := b.run(t, time.Second, func(o *lease.CandidateOptions) {
			o.OnChange = func(held lease.Leadership, ok bool) {
				mu.Lock()
				defer mu.Unlock()
				if ok && lease.BootTime() < held.ValidUntil {
					epochs = append(epochs, held.Epoch)
				}
			}
		})
		return h
	}
	holders := []*lease.Candidate{run(), run()}
	rng := rand.New(rand.NewPCG(seed, 0))
	for round := range rounds {
		checks := 20
		b.srv.SetFaults(randomFaults(rng))
		switch round % 30 {
		case 10, 20:
			b.srv.SetFaults(standin.Faults{})
			i, held := waitForHolder(c, holders)
			c.Assert(holders[i].Resign(context.Background()), qt.IsNil)
			next, successor := waitForHolder(c, holders)
			c.Assert(next, qt.Equals, 1-i)
			c.Assert(successor.Epoch > held.Epoch, qt.IsTrue, qt.Commentf("%d after %d", successor.Epoch, held.Epoch))
			holders[i] = run()
		case 15:
			b.srv.SetFaults(standin.Faults{Down: standin.DownHang})
			checks = 700
		}
		for range checks {
			checkHolders(c, holders[0], holders[1])
			time.Sleep(2 * time.Millisecond)
		}
	}
	b.srv.SetFaults(standin.Faults{})
	for _, h := range holders {
		c.Assert(h.Resign(context.Background()), qt.IsNil)
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("seed %d: epochs %v", seed, epochs)
	for i := 1; i < len(epochs); i++ {
		c.Assert(epochs[i] > epochs[i-1], qt.IsTrue, qt.Commentf("%v", epochs))
	}
}

// waitForHolder returns which of the two holds the duty, once one of them does.
// A lease that has lapsed meanwhile is waited for again.
func waitForHolder(c *qt.C, holders []*lease.Candidate) (int, lease.Leadership) {
	for {
		checkHolders(c, holders[0], holders[1])
		for i, h := range holders {
			if held, ok := h.Current(); ok {
				return i, held
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// checkHolders asks the first again after the second, so that a change of
// holder between two questions is not taken for two holders. The same epoch in
// both answers says that the first held the duty all the while.
func checkHolders(c *qt.C, a, b *lease.Candidate) {
	one, ok1 := a.Current()
	two, ok2 := b.Current()
	later, again := a.Current()
	throughout := ok1 && again && one.Epoch == later.Epoch
	c.Assert(throughout && ok2, qt.IsFalse, qt.Commentf("epochs %d and %d", one.Epoch, two.Epoch))
}

func randomFaults(rng *rand.Rand) standin.Faults {
	switch rng.IntN(7) {
	case 0:
		return standin.Faults{Down: standin.DownRefuse}
	case 1:
		return standin.Faults{Down: standin.DownHang}
	case 2:
		return standin.Faults{LoseReplies: 1 + rng.IntN(4), CutWatches: true}
	case 3:
		return standin.Faults{LoseRequests: 1 + rng.IntN(4), FreezeWatches: true}
	case 4:
		return standin.Faults{DelayMillis: rng.IntN(150)}
	}
	return standin.Faults{}
}
