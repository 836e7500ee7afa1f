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

// inSessions gives each candidate of a bench a Session. Tests don't run beside
// each other.
var inSessions = false

// session opens a Session for a candidate and waits until it watches.
func (b *bench) session(o lease.CandidateOptions) *lease.Session {
	before := b.srv.Counters().Watch
	s := lease.OpenSession(lease.SessionOptions{Store: o.Store, Domain: domain, Instance: o.Instance, TTL: o.TTL, Clock: o.Clock})
	for b.srv.Faults() == (standin.Faults{}) && b.srv.Counters().Watch == before {
		time.Sleep(time.Millisecond)
	}
	return s
}

// Whatever a Holder with a lease of its own promises, one in a Session does too.
func TestHolderInSession(t *testing.T) {
	inSessions = true
	defer func() { inSessions = false }()
	t.Run("resigns", TestHolderResigns)
	t.Run("lost replies", TestHolderLostReplies)
	t.Run("suspended", TestHolderSuspended)
	t.Run("observes", TestHolderObserves)
	t.Run("under faults", TestHoldersUnderFaults)
	t.Run("yields", TestHolderYields)
}

// member is a Session with a Holder for each of some duties.
type member struct {
	session *lease.Session
	holders []*lease.Candidate
	gained  []chan lease.Leadership
	// took is told of each holding that is valid when it is told.
	took func(duty int, epoch uint64)
}

func (b *bench) member(t *testing.T, ttl time.Duration, duties int, took ...func(duty int, epoch uint64)) *member {
	store := store.NewClient(store.Options{Endpoints: []string{b.url}, CallTimeout: 200 * time.Millisecond, WatchIdleTimeout: b.watchIdle})
	m := &member{session: b.session(lease.CandidateOptions{Store: store, TTL: ttl, Instance: t.Name()})}
	if len(took) > 0 {
		m.took = took[0]
	}
	for i := range duties {
		gained := make(chan lease.Leadership, 100)
		m.gained = append(m.gained, gained)
		m.holders = append(m.holders, lease.StartCandidate(lease.CandidateOptions{
			Session: m.session, Election: fmt.Sprintf("%s/service-%02d", domain, i), Instance: t.Name(),
			OnChange: func(held lease.Leadership, ok bool) {
				if !ok {
					return
				}
				if m.took != nil && lease.BootTime() < held.ValidUntil {
					m.took(i, held.Epoch)
				}
				gained <- held
			},
		}))
	}
	t.Cleanup(func() {
		for _, h := range m.holders {
			_ = h.Resign(context.Background())
		}
		_ = m.session.Close(context.Background())
		store.Close()
	})
	return m
}

// A region has many duties and the store counts each call: what a process pays to
// hold them must not grow with their number.
func TestSessionCallsDoNotGrowWithDuties(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	b.watchIdle = time.Hour // a watch that is replaced on a busy machine is a call
	m := b.member(t, time.Second, 50)
	for _, g := range m.gained {
		<-g
	}
	c.Logf("to gain 50 duties: %+v", b.srv.Counters())
	before := b.srv.Counters()
	for b.srv.Counters().KeepAlive < before.KeepAlive+6 {
		time.Sleep(time.Millisecond)
	}
	used := b.srv.Counters().Total() - before.Total()
	c.Check(used <= 6+6+2, qt.IsTrue, qt.Commentf("%d calls for 6 renewals", used))
	for _, h := range m.holders {
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
	b := newBench(t, standin.Options{})
	b.watchIdle = time.Hour
	m := b.member(t, time.Second, 2)
	first := []lease.Leadership{<-m.gained[0], <-m.gained[1]}
	b.srv.SetFaults(standin.Faults{FreezeWatches: true})
	b.srv.Snapshot()
	late := m.late(t, c)
	b.srv.Restore()
	c.Assert((<-late).Epoch, qt.Equals, uint64(1)) // the backup knows no epoch of it
	for i, held := range first {
		c.Assert((<-m.gained[i]).Epoch > held.Epoch, qt.IsTrue)
	}
}

// late adds a Holder that gains its duty now, and returns what it gains after.
func (m *member) late(t *testing.T, c *qt.C) <-chan lease.Leadership {
	gained := make(chan lease.Leadership, 100)
	h := lease.StartCandidate(lease.CandidateOptions{Session: m.session, Election: domain + "/late", Instance: t.Name(), OnChange: func(held lease.Leadership, ok bool) {
		if ok {
			gained <- held
		}
	}})
	m.holders = append(m.holders, h)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	return gained
}

// An operator deletes the holder key of one of two duties. The holder must see it
// although its lease lives, and must not lose the other duty.
func TestSessionKeyDeleted(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	m := b.member(t, time.Second, 2)
	<-m.gained[0]
	<-m.gained[1]
	operator := store.NewClient(store.Options{Endpoints: []string{b.url}})
	key := fmt.Sprintf("duty/%s/service-00/holder", domain)
	kv, _, err := operator.Get(context.Background(), key)
	c.Assert(err, qt.IsNil)
	_, err = operator.Commit(context.Background(), []store.Swap{{Key: key, Expect: kv.Mod, Delete: true}})
	c.Assert(err, qt.IsNil)
	c.Assert((<-m.gained[0]).Epoch, qt.Equals, uint64(2))
	held, ok := m.holders[1].Current()
	c.Assert(ok, qt.IsTrue)
	c.Assert(held.Epoch, qt.Equals, uint64(1))
}

// Another process takes a holder for dead and revokes its lease. The holder loses
// all duties at the next renewal, the other has them at once, and nothing is stuck.
func TestSessionRevokedByAnother(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	m := b.member(t, time.Second, 3)
	for _, g := range m.gained {
		c.Assert((<-g).Epoch, qt.Equals, uint64(1))
	}
	id, lost, err := m.session.Lease(context.Background())
	c.Assert(err, qt.IsNil)
	operator := store.NewClient(store.Options{Endpoints: []string{b.url}})
	c.Assert(operator.Revoke(context.Background(), id), qt.IsNil)
	<-lost
	for _, g := range m.gained {
		c.Assert((<-g).Epoch, qt.Equals, uint64(2))
	}
}

// The creation of a holder key is held up on its way and takes effect long after
// its Holder has given it up. Nobody holds the duty, but its key lives on with the
// Session's lease: without a clean-up no process could ever take the duty.
func TestSessionLateCreation(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	m := b.member(t, time.Second, 1)
	<-m.gained[0]
	other := b.member(t, time.Second, 1)
	id, _, err := other.session.Lease(context.Background())
	c.Assert(err, qt.IsNil)
	operator := store.NewClient(store.Options{Endpoints: []string{b.url}})
	key := fmt.Sprintf("duty/%s/service-00/holder", domain)
	c.Assert(m.holders[0].Resign(context.Background()), qt.IsNil)
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
	b := newBench(t, standin.Options{})
	var mu sync.Mutex
	epochs := make([][]uint64, duties)
	took := func(duty int, epoch uint64) {
		mu.Lock()
		defer mu.Unlock()
		epochs[duty] = append(epochs[duty], epoch)
	}
	ms := []*member{b.member(t, time.Second, duties, took), b.member(t, time.Second, duties, took)}
	rng := rand.New(rand.NewPCG(seed, 0))
	for round := range rounds {
		b.srv.SetFaults(randomFaults(rng))
		if round%20 == 10 {
			b.srv.SetFaults(standin.Faults{Down: standin.DownHang})
		}
		for range 20 {
			for i := range duties {
				checkHolders(c, ms[0].holders[i], ms[1].holders[i])
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	b.srv.SetFaults(standin.Faults{})
	for i := range duties {
		for held := false; !held; time.Sleep(time.Millisecond) {
			_, first := ms[0].holders[i].Current()
			_, second := ms[1].holders[i].Current()
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
