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

const electionName = domain + "/planner"

// testEnv is a stand-in store with candidates of one election.
type testEnv struct {
	srv *standin.Server
	url string
	// watchIdle applies to the store clients of Sessions.
	watchIdle time.Duration
}

func newTestEnv(t *testing.T, opts standin.Options) *testEnv {
	opts.ProgressInterval = 20 * time.Millisecond
	srv := standin.New(opts)
	web := httptest.NewServer(srv)
	t.Cleanup(func() {
		srv.Close()
		web.Close()
	})
	return &testEnv{srv: srv, url: web.URL, watchIdle: 200 * time.Millisecond}
}

// startCandidate starts a candidate and returns it with a channel of its leaderships.
func (env *testEnv) startCandidate(t *testing.T, ttl time.Duration, changes ...func(*lease.CandidateOptions)) (*lease.Candidate, <-chan lease.Leadership) {
	store := store.NewClient(store.Options{
		Endpoints:        []string{env.url},
		CallTimeout:      200 * time.Millisecond,
		WatchIdleTimeout: 200 * time.Millisecond,
	})
	gained := make(chan lease.Leadership, 100)
	opts := lease.CandidateOptions{Store: store, Election: electionName, Instance: t.Name(), TTL: ttl}
	opts.OnChange = func(held lease.Leadership, ok bool) {
		if ok {
			gained <- held
		}
	}
	for _, f := range changes {
		f(&opts)
	}
	if useSessions {
		opts.Session = env.openSession(opts)
	}
	candidate := lease.StartCandidate(opts)
	t.Cleanup(func() {
		_ = candidate.Resign(context.Background())
		if opts.Session != nil {
			_ = opts.Session.Close(context.Background())
		}
		store.Close()
	})
	return candidate, gained
}

// After an orderly stop the successor must take over without waiting for the lease of
// ten minutes to expire, and without polling the store.
func TestCandidateResigns(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	first, gained := env.startCandidate(t, 10*time.Minute)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	_, ok := first.Current()
	c.Assert(ok, qt.IsTrue)
	second, gained := env.startCandidate(t, 10*time.Minute)
	for env.srv.Counters().Watch == 0 {
		time.Sleep(time.Millisecond)
	}
	waiting := env.srv.Counters()
	c.Assert(first.Resign(context.Background()), qt.IsNil)
	_, ok = first.Current()
	c.Assert(ok, qt.IsFalse)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(2))
	_, ok = second.Current()
	c.Assert(ok, qt.IsTrue)
	used := env.srv.Counters().Total() - waiting.Total()
	c.Assert(used <= 7, qt.IsTrue, qt.Commentf("%d calls for a change of leader", used))
}

// A candidate whose replies are lost must recognize its own writes instead of waiting
// for a leader that is itself.
func TestCandidateRecognizesWritesAfterLostReplies(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	for n := range 4 {
		env.srv.SetFaults(standin.Faults{LoseReplies: n + 1})
		candidate, gained := env.startCandidate(t, 10*time.Minute)
		c.Assert((<-gained).Epoch > uint64(n), qt.IsTrue)
		c.Assert(candidate.Resign(context.Background()), qt.IsNil)
	}
}

// After the machine was suspended, the process must see that its lease has expired
// before any renewal can fail.
func TestLeadershipExpiresDuringSuspension(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	var clock atomic.Int64
	candidate, gained := env.startCandidate(t, 10*time.Minute, func(o *lease.CandidateOptions) {
		o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
	})
	<-gained
	_, ok := candidate.Current()
	c.Assert(ok, qt.IsTrue)
	clock.Add(int64(10 * time.Minute))
	_, ok = candidate.Current()
	c.Assert(ok, qt.IsFalse)
}

// After a restore the store's epochs are too low and receivers refuse the leader's
// orders; it must raise its epoch above theirs.
func TestCandidateRaisesEpochAboveObserved(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	candidate, gained := env.startCandidate(t, 10*time.Minute)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	candidate.ObserveEpoch(41)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(42))
}

// While the store has every kind of fault, two candidates may never lead at once, epochs
// must grow, and a candidate must take over when the leader resigns.
func TestCandidatesUnderFaults(t *testing.T) {
	const seed, rounds = 1, 60
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	var mu sync.Mutex
	var epochs []uint64
	start := func() *lease.Candidate {
		candidate, _ := env.startCandidate(t, time.Second, func(o *lease.CandidateOptions) {
			o.OnChange = func(held lease.Leadership, ok bool) {
				mu.Lock()
				defer mu.Unlock()
				if ok && lease.BootTime() < held.ValidUntil {
					epochs = append(epochs, held.Epoch)
				}
			}
		})
		return candidate
	}
	candidates := []*lease.Candidate{start(), start()}
	rng := rand.New(rand.NewPCG(seed, 0))
	for round := range rounds {
		checks := 20
		env.srv.SetFaults(randomFaults(rng))
		switch round % 30 {
		case 10, 20:
			env.srv.SetFaults(standin.Faults{})
			i, held := waitForLeader(c, candidates)
			c.Assert(candidates[i].Resign(context.Background()), qt.IsNil)
			next, successor := waitForLeader(c, candidates)
			c.Assert(next, qt.Equals, 1-i)
			c.Assert(successor.Epoch > held.Epoch, qt.IsTrue, qt.Commentf("%d after %d", successor.Epoch, held.Epoch))
			candidates[i] = start()
		case 15:
			env.srv.SetFaults(standin.Faults{Down: standin.DownHang})
			checks = 700
		}
		for range checks {
			checkSingleLeader(c, candidates[0], candidates[1])
			time.Sleep(2 * time.Millisecond)
		}
	}
	env.srv.SetFaults(standin.Faults{})
	for _, candidate := range candidates {
		c.Assert(candidate.Resign(context.Background()), qt.IsNil)
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("seed %d: epochs %v", seed, epochs)
	for i := 1; i < len(epochs); i++ {
		c.Assert(epochs[i] > epochs[i-1], qt.IsTrue, qt.Commentf("%v", epochs))
	}
}

// waitForLeader returns which of the two is the leader, once there is one. It continues
// to wait if the lease has expired in the meantime.
func waitForLeader(c *qt.C, candidates []*lease.Candidate) (int, lease.Leadership) {
	for {
		checkSingleLeader(c, candidates[0], candidates[1])
		for i, candidate := range candidates {
			if held, ok := candidate.Current(); ok {
				return i, held
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// checkSingleLeader queries the first candidate again after the second, so that a change
// of leader in between is not mistaken for two leaders. Equal epochs in both answers
// mean that the first led all the time.
func checkSingleLeader(c *qt.C, one, other *lease.Candidate) {
	first, ok1 := one.Current()
	second, ok2 := other.Current()
	firstAgain, ok3 := one.Current()
	throughout := ok1 && ok3 && first.Epoch == firstAgain.Epoch
	c.Assert(throughout && ok2, qt.IsFalse, qt.Commentf("epochs %d and %d", first.Epoch, second.Epoch))
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
