package lease_test

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

var runCount = flag.Int("lease.runs", 300, "number of randomized runs; run n has seed n")

const stepsPerRun = 5000

// With slow calls, lost or late messages and paused processes, two candidates must never
// lead at once, and a successor must not have a lower epoch.
func TestElectorRandom(t *testing.T) {
	leaderships := 0
	for seed := range *runCount {
		s := newSimulation(uint64(seed))
		for range stepsPerRun {
			s.randomStep()
			if err := s.checkInvariants(); err != "" {
				t.Fatalf("seed %d: %s", seed, err)
			}
		}
		if err := s.runUntilLeader(); err != "" {
			t.Fatalf("seed %d: %s", seed, err)
		}
		leaderships += s.leaderships
	}
	t.Logf("%d runs, %d leaderships", *runCount, leaderships)
	qt.Assert(t, leaderships > 5**runCount, qt.IsTrue)
}

// candidateAboutToRenew returns a candidate that is the leader and is about to renew
// its lease.
func candidateAboutToRenew(c *qt.C, m *storeModel) *simCandidate {
	candidate := &simCandidate{Elector: lease.NewElector(ttl), ratePercent: 100}
	candidate.step(0, lease.Start{})
	for _, isRenew := candidate.action.(lease.Renew); !isRenew; _, isRenew = candidate.action.(lease.Renew) {
		candidate.step(m.now, m.apply(candidate.action, candidate.sent))
	}
	held, ok := candidate.validLeadership(m.now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(held.Epoch, qt.Equals, uint64(1))
	return candidate
}

// A leader that is paused for longer than the TTL during a renewal must not count its
// lease from when it sees the reply: another candidate leads by then.
func TestElectorPausedInRenewal(t *testing.T) {
	c := qt.New(t)
	m := &storeModel{leases: make(map[store.LeaseID]time.Duration)}
	candidate := candidateAboutToRenew(c, m)
	reply := m.apply(candidate.action, candidate.sent)
	m.now += ttl + time.Second
	_, ok := candidate.validLeadership(m.now)
	c.Assert(ok, qt.IsFalse)
	candidate.step(m.now, reply)
	_, ok = candidate.Leadership()
	c.Assert(ok, qt.IsFalse)
	c.Assert(candidate.action, qt.Equals, lease.Action(lease.Revoke{Lease: candidate.claimLease}))
}

// A renewal whose reply takes 5 s must not extend the lease past the time at which the
// store expires it.
func TestElectorSlowRenewal(t *testing.T) {
	c := qt.New(t)
	m := &storeModel{leases: make(map[store.LeaseID]time.Duration)}
	candidate := candidateAboutToRenew(c, m)
	reply := m.apply(candidate.action, candidate.sent)
	expiresAt := m.now + ttl
	m.now += 5 * time.Second
	candidate.step(m.now, reply)
	candidate.step(m.now, m.apply(candidate.action, candidate.sent))
	held, ok := candidate.Leadership()
	c.Assert(ok, qt.IsTrue)
	c.Assert(held.ValidUntil < expiresAt, qt.IsTrue, qt.Commentf("valid until %v, expires at %v", held.ValidUntil, expiresAt))
}

func TestFenceRefusesLowerEpoch(t *testing.T) {
	c := qt.New(t)
	var f lease.Fence
	c.Assert(f.Admit(2), qt.IsNil)
	c.Assert(f.Admit(2), qt.IsNil)
	c.Assert(f.Admit(1), qt.Equals, lease.ErrStaleEpoch)
	c.Assert(f.Highest(), qt.Equals, uint64(2))
}
