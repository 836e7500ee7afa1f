package lease_test

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

var runCount = flag.Int("lease.runs", 300, "randomised runs; run n has seed n")

const stepsPerRun = 5000

// Two entries plan for the same region at once, or orders of the newer one are
// refused because the older one drew a higher epoch: calls are slow, replies
// and requests are lost or arrive late, and processes are paused anywhere.
//
// The choices come from a plain generator: they are weighted, which needs even
// numbers, and rapid's lean to small ones.
func TestElectorRandom(t *testing.T) {
	leaderships := 0
	for seed := range *runCount {
		w := newSimulation(uint64(seed))
		for range stepsPerRun {
			w.randomStep()
			if err := w.checkInvariants(); err != "" {
				t.Fatalf("seed %d: %s", seed, err)
			}
		}
		if err := w.runUntilLed(); err != "" {
			t.Fatalf("seed %d: %s", seed, err)
		}
		leaderships += w.leaderships
	}
	t.Logf("%d runs, %d holdings", *runCount, leaderships)
	qt.Assert(t, leaderships > 5**runCount, qt.IsTrue)
}

// candidateAboutToRenew returns a candidate that holds the duty and is about to renew.
func candidateAboutToRenew(c *qt.C, m *storeModel) *simCandidate {
	a := &simCandidate{Elector: lease.NewElector(ttl), ratePercent: 100}
	a.step(0, lease.Start{})
	for _, isRenew := a.action.(lease.Renew); !isRenew; _, isRenew = a.action.(lease.Renew) {
		a.step(m.now, m.apply(a.action, a.sent))
	}
	held, ok := a.validLeadership(m.now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(held.Epoch, qt.Equals, uint64(1))
	return a
}

// A holder sends its renewal, is paused longer than the TTL, and wakes with the
// reply. Reckoned from the reply, its lease would look new, while another has
// long taken over.
func TestElectorPausedInRenewal(t *testing.T) {
	c := qt.New(t)
	m := &storeModel{leases: make(map[store.LeaseID]time.Duration)}
	a := candidateAboutToRenew(c, m)
	reply := m.apply(a.action, a.sent)
	m.now += ttl + time.Second
	_, ok := a.validLeadership(m.now)
	c.Assert(ok, qt.IsFalse)
	a.step(m.now, reply)
	_, ok = a.Leadership()
	c.Assert(ok, qt.IsFalse)
	c.Assert(a.action, qt.Equals, lease.Action(lease.Revoke{Lease: a.claimLease}))
}

// The reply to a renewal takes 5 s, the next renewals fail, and the holder goes
// on for 5 s after the store has given the duty to another.
func TestElectorSlowRenewal(t *testing.T) {
	c := qt.New(t)
	m := &storeModel{leases: make(map[store.LeaseID]time.Duration)}
	a := candidateAboutToRenew(c, m)
	reply := m.apply(a.action, a.sent)
	expiresAt := m.now + ttl
	m.now += 5 * time.Second
	a.step(m.now, reply)
	a.step(m.now, m.apply(a.action, a.sent))
	held, ok := a.Leadership()
	c.Assert(ok, qt.IsTrue)
	c.Assert(held.ValidUntil < expiresAt, qt.IsTrue, qt.Commentf("until %v, lapses %v", held.ValidUntil, expiresAt))
}

func TestFenceRefusesLowerEpoch(t *testing.T) {
	c := qt.New(t)
	var f lease.Fence
	c.Assert(f.Admit(2), qt.IsNil)
	c.Assert(f.Admit(2), qt.IsNil)
	c.Assert(f.Admit(1), qt.Equals, lease.ErrStaleEpoch)
	c.Assert(f.Highest(), qt.Equals, uint64(2))
}
