package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

const domain = "auckland"

// useSessions gives each candidate of a testEnv a Session. Tests do not run in
// parallel.
var useSessions = false

// openSession opens a Session for a candidate and waits until it watches.
func (env *testEnv) openSession(o lease.CandidateOptions) *lease.Session {
	watchesBefore := env.srv.Counters().Watch
	s := lease.OpenSession(lease.SessionOptions{Store: o.Store, Domain: domain, Instance: o.Instance, TTL: o.TTL, Clock: o.Clock})
	for env.srv.Faults() == (standin.Faults{}) && env.srv.Counters().Watch == watchesBefore {
		time.Sleep(time.Millisecond)
	}
	return s
}

// A Candidate in a Session must give the guarantees of one with a lease of its own.
func TestCandidateInSession(t *testing.T) {
	useSessions = true
	defer func() { useSessions = false }()
	t.Run("resigns", TestCandidateResigns)
	t.Run("lost replies", TestCandidateRecognizesWritesAfterLostReplies)
	t.Run("suspended", TestLeadershipExpiresDuringSuspension)
	t.Run("observes", TestCandidateRaisesEpochAboveObserved)
	t.Run("under faults", TestCandidatesUnderFaults)
	t.Run("yields", TestCandidateYields)
}

// sessionProcess is a Session with a Candidate for each of several elections.
type sessionProcess struct {
	session    *lease.Session
	candidates []*lease.Candidate
	gained     []chan lease.Leadership
	// onGain is called for each leadership that is still valid at the call.
	onGain func(election int, epoch uint64)
}

func (env *testEnv) startProcess(t *testing.T, ttl time.Duration, elections int, onGain ...func(election int, epoch uint64)) *sessionProcess {
	store := store.NewClient(store.Options{Endpoints: []string{env.url}, CallTimeout: 200 * time.Millisecond, WatchIdleTimeout: env.watchIdle})
	p := &sessionProcess{session: env.openSession(lease.CandidateOptions{Store: store, TTL: ttl, Instance: t.Name()})}
	if len(onGain) > 0 {
		p.onGain = onGain[0]
	}
	for i := range elections {
		gained := make(chan lease.Leadership, 100)
		p.gained = append(p.gained, gained)
		p.candidates = append(p.candidates, lease.StartCandidate(lease.CandidateOptions{
			Session: p.session, Election: fmt.Sprintf("%s/service-%02d", domain, i), Instance: t.Name(),
			OnChange: func(held lease.Leadership, ok bool) {
				if !ok {
					return
				}
				if p.onGain != nil && lease.BootTime() < held.ValidUntil {
					p.onGain(i, held.Epoch)
				}
				gained <- held
			},
		}))
	}
	t.Cleanup(func() {
		for _, candidate := range p.candidates {
			_ = candidate.Resign(context.Background())
		}
		_ = p.session.Close(context.Background())
		store.Close()
	})
	return p
}

// The number of store calls that a process makes to remain leader must not grow with
// the number of its elections.
func TestSessionCallsDoNotGrowWithElections(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	env.watchIdle = time.Hour // replacing an idle watch would count as a call
	p := env.startProcess(t, time.Second, 50)
	for _, g := range p.gained {
		<-g
	}
	c.Logf("calls to win 50 elections: %+v", env.srv.Counters())
	before := env.srv.Counters()
	for env.srv.Counters().KeepAlive < before.KeepAlive+6 {
		time.Sleep(time.Millisecond)
	}
	used := env.srv.Counters().Total() - before.Total()
	c.Check(used <= 6+6+2, qt.IsTrue, qt.Commentf("%d calls for 6 renewals", used))
	for _, candidate := range p.candidates {
		_, ok := candidate.Current()
		c.Check(ok, qt.IsTrue)
	}
}

// After a restore from a backup with the lease but without one of the holder keys,
// renewals still succeed; the process must detect that a claim is missing.
func TestSessionInRestoredStore(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	env.watchIdle = time.Hour
	p := env.startProcess(t, time.Second, 2)
	first := []lease.Leadership{<-p.gained[0], <-p.gained[1]}
	env.srv.SetFaults(standin.Faults{FreezeWatches: true})
	env.srv.Snapshot()
	late := p.addCandidate(t, c)
	env.srv.Restore()
	c.Assert((<-late).Epoch, qt.Equals, uint64(1)) // the backup has no epoch of this election
	for i, held := range first {
		c.Assert((<-p.gained[i]).Epoch > held.Epoch, qt.IsTrue)
	}
}

// addCandidate adds a Candidate that becomes leader at once, and returns a channel of
// its later leaderships.
func (p *sessionProcess) addCandidate(t *testing.T, c *qt.C) <-chan lease.Leadership {
	gained := make(chan lease.Leadership, 100)
	candidate := lease.StartCandidate(lease.CandidateOptions{Session: p.session, Election: domain + "/late", Instance: t.Name(), OnChange: func(held lease.Leadership, ok bool) {
		if ok {
			gained <- held
		}
	}})
	p.candidates = append(p.candidates, candidate)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	return gained
}

// An operator deletes the holder key of one of two elections. The process must notice
// although its lease is valid, and must keep the other leadership.
func TestSessionDetectsDeletedHolderKey(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	p := env.startProcess(t, time.Second, 2)
	<-p.gained[0]
	<-p.gained[1]
	operator := store.NewClient(store.Options{Endpoints: []string{env.url}})
	key := fmt.Sprintf("duty/%s/service-00/holder", domain)
	kv, _, err := operator.Get(context.Background(), key)
	c.Assert(err, qt.IsNil)
	_, err = operator.Commit(context.Background(), []store.Swap{{Key: key, Expect: kv.Mod, Delete: true}})
	c.Assert(err, qt.IsNil)
	c.Assert((<-p.gained[0]).Epoch, qt.Equals, uint64(2))
	held, ok := p.candidates[1].Current()
	c.Assert(ok, qt.IsTrue)
	c.Assert(held.Epoch, qt.Equals, uint64(1))
}

// Another process revokes the lease of a live leader. The leader must notice by its next
// renewal, and all its elections must get a leader again with a higher epoch.
func TestSessionRevokedByAnother(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	p := env.startProcess(t, time.Second, 3)
	for _, g := range p.gained {
		c.Assert((<-g).Epoch, qt.Equals, uint64(1))
	}
	id, lost, err := p.session.Lease(context.Background())
	c.Assert(err, qt.IsNil)
	operator := store.NewClient(store.Options{Endpoints: []string{env.url}})
	c.Assert(operator.Revoke(context.Background(), id), qt.IsNil)
	<-lost
	for _, g := range p.gained {
		c.Assert((<-g).Epoch, qt.Equals, uint64(2))
	}
}

// A holder key whose creation takes effect after its Candidate abandoned the claim must
// be removed; otherwise it blocks the election as long as the Session exists.
func TestSessionRemovesLateClaim(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	p := env.startProcess(t, time.Second, 1)
	<-p.gained[0]
	other := env.startProcess(t, time.Second, 1)
	id, _, err := other.session.Lease(context.Background())
	c.Assert(err, qt.IsNil)
	operator := store.NewClient(store.Options{Endpoints: []string{env.url}})
	key := fmt.Sprintf("duty/%s/service-00/holder", domain)
	c.Assert(p.candidates[0].Resign(context.Background()), qt.IsNil)
	<-other.gained[0]
	kv, _, err := operator.Get(context.Background(), key)
	c.Assert(err, qt.IsNil)
	_, err = operator.Commit(context.Background(), []store.Swap{{Key: key, Expect: kv.Mod, Value: []byte(`{"token":"late"}`), Lease: id}})
	c.Assert(err, qt.IsNil)
	c.Assert((<-other.gained[0]).Epoch, qt.Equals, uint64(3))
}

// While the store has every kind of fault, two processes may never lead one election at
// once and epochs must grow; in the end each election must have a leader.
func TestSessionsUnderFaults(t *testing.T) {
	const seed, rounds, elections = 7, 60, 5
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	var mu sync.Mutex
	epochs := make([][]uint64, elections)
	onGain := func(election int, epoch uint64) {
		mu.Lock()
		defer mu.Unlock()
		epochs[election] = append(epochs[election], epoch)
	}
	processes := []*sessionProcess{env.startProcess(t, time.Second, elections, onGain), env.startProcess(t, time.Second, elections, onGain)}
	rng := rand.New(rand.NewPCG(seed, 0))
	for round := range rounds {
		env.srv.SetFaults(randomFaults(rng))
		if round%20 == 10 {
			env.srv.SetFaults(standin.Faults{Down: standin.DownHang})
		}
		for range 20 {
			for i := range elections {
				checkSingleLeader(c, processes[0].candidates[i], processes[1].candidates[i])
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	env.srv.SetFaults(standin.Faults{})
	for i := range elections {
		for held := false; !held; time.Sleep(time.Millisecond) {
			_, first := processes[0].candidates[i].Current()
			_, second := processes[1].candidates[i].Current()
			held = first || second
		}
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("seed %d: epochs %v", seed, epochs)
	for _, all := range epochs {
		for i := 1; i < len(all); i++ {
			c.Check(all[i] > all[i-1], qt.IsTrue, qt.Commentf("%v", all))
		}
	}
}
