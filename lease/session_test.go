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

// useSessions gives each candidate of a bench a Session. Tests don't run beside
// each other.
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

// Whatever a Holder with a lease of its own promises, one in a Session does too.
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

// sessionProcess is a Session with a Holder for each of some duties.
type sessionProcess struct {
	session    *lease.Session
	candidates []*lease.Candidate
	gained     []chan lease.Leadership
	// onGain is told of each holding that is valid when it is told.
	onGain func(duty int, epoch uint64)
}

func (env *testEnv) startProcess(t *testing.T, ttl time.Duration, duties int, onGain ...func(duty int, epoch uint64)) *sessionProcess {
	store := store.NewClient(store.Options{Endpoints: []string{env.url}, CallTimeout: 200 * time.Millisecond, WatchIdle: env.watchIdle})
	p := &sessionProcess{session: env.openSession(lease.CandidateOptions{Store: store, TTL: ttl, Instance: t.Name()})}
	if len(onGain) > 0 {
		p.onGain = onGain[0]
	}
	for i := range duties {
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
		for _, h := range p.candidates {
			_ = h.Resign(context.Background())
		}
		_ = p.session.Close(context.Background())
		store.Close()
	})
	return p
}

// A region has many duties and the store counts each call: what a process pays to
// hold them must not grow with their number.
func TestSessionCallsDoNotGrowWithElections(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	env.watchIdle = time.Hour // a watch that is replaced on a busy machine is a call
	p := env.startProcess(t, time.Second, 50)
	for _, g := range p.gained {
		<-g
	}
	c.Logf("to gain 50 duties: %+v", env.srv.Counters())
	before := env.srv.Counters()
	for env.srv.Counters().KeepAlive < before.KeepAlive+6 {
		time.Sleep(time.Millisecond)
	}
	used := env.srv.Counters().Total() - before.Total()
	c.Check(used <= 6+6+2, qt.IsTrue, qt.Commentf("%d calls for 6 renewals", used))
	for _, h := range p.candidates {
		_, ok := h.Current()
		c.Check(ok, qt.IsTrue)
	}
}

// The store is restored from a backup that has a process's lease and two of its
// duties, but not the one claimed after it, and the process's watch has gone
// silent. Renewals go on to succeed, while another may take the third duty: the
// process must see by itself that its claims are not all there any more.
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
	c.Assert((<-late).Epoch, qt.Equals, uint64(1)) // the backup knows no epoch of it
	for i, held := range first {
		c.Assert((<-p.gained[i]).Epoch > held.Epoch, qt.IsTrue)
	}
}

// addCandidate adds a Holder that gains its duty now, and returns what it gains after.
func (p *sessionProcess) addCandidate(t *testing.T, c *qt.C) <-chan lease.Leadership {
	gained := make(chan lease.Leadership, 100)
	h := lease.StartCandidate(lease.CandidateOptions{Session: p.session, Election: domain + "/late", Instance: t.Name(), OnChange: func(held lease.Leadership, ok bool) {
		if ok {
			gained <- held
		}
	}})
	p.candidates = append(p.candidates, h)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	return gained
}

// An operator deletes the holder key of one of two duties. The holder must see it
// although its lease lives, and must not lose the other duty.
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

// Another process takes a holder for dead and revokes its lease. The holder loses
// all duties at the next renewal, the other has them at once, and nothing is stuck.
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

// The creation of a holder key is held up on its way and takes effect long after
// its Holder has given it up. Nobody holds the duty, but its key lives on with the
// Session's lease: without a clean-up no process could ever take the duty.
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

// Two processes compete for five duties, and the store has every fault: never two
// valid holders of one duty, each holding with a higher epoch than those before,
// and in the end each duty is held.
func TestSessionsUnderFaults(t *testing.T) {
	const seed, rounds, duties = 7, 60, 5
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	var mu sync.Mutex
	epochs := make([][]uint64, duties)
	onGain := func(duty int, epoch uint64) {
		mu.Lock()
		defer mu.Unlock()
		epochs[duty] = append(epochs[duty], epoch)
	}
	processes := []*sessionProcess{env.startProcess(t, time.Second, duties, onGain), env.startProcess(t, time.Second, duties, onGain)}
	rng := rand.New(rand.NewPCG(seed, 0))
	for round := range rounds {
		env.srv.SetFaults(randomFaults(rng))
		if round%20 == 10 {
			env.srv.SetFaults(standin.Faults{Down: standin.DownHang})
		}
		for range 20 {
			for i := range duties {
				checkSingleLeader(c, processes[0].candidates[i], processes[1].candidates[i])
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	env.srv.SetFaults(standin.Faults{})
	for i := range duties {
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
