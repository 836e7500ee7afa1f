package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// simSession is the lease that a candidate's process shares between its elections, in
// virtual time. The model treats each grant from it as a lease of its own that expires
// with it; the ID of that lease stands for the token of the claim.
type simSession struct {
	id              store.LeaseID // zero: none yet
	claims          map[store.LeaseID]bool
	renewedAt       time.Duration // on the candidate's clock
	reportedRenewal time.Duration // the last renewal passed to the Elector
	renewalSentAt   *time.Duration
}

// renewSession sends a renewal, or lets the one that was sent take effect and be
// answered.
func (s *simulation) renewSession(i int) {
	if s.sessions == nil {
		return
	}
	session, clock := s.sessions[i], s.candidates[i].clock(s.store.now)
	if session.renewalSentAt == nil {
		session.renewalSentAt = &clock
		return
	}
	s.store.expireLeases()
	if _, alive := s.store.leases[session.id]; !alive {
		s.store.rev++
		session.id, session.claims = store.LeaseID(s.store.rev), map[store.LeaseID]bool{}
	}
	s.store.leases[session.id] = s.store.now + ttl
	for claim := range session.claims {
		s.store.leases[claim] = s.store.now + ttl
	}
	session.renewedAt, session.renewalSentAt = *session.renewalSentAt, nil
}

// revokeSession ends the session's lease, as another process does that believes this
// one to be dead.
func (s *simulation) revokeSession(i int) {
	session := s.sessions[i]
	s.store.dropLease(session.id)
	for claim := range session.claims {
		s.store.dropLease(claim)
	}
}

func (s *simSession) apply(m *storeModel, c *simCandidate) lease.Event {
	m.expireLeases()
	switch act := c.action.(type) {
	case lease.AwaitVacant:
		if s.claims[m.holderLease] {
			m.holderLease = 0 // a claim that took effect late
		}
	case lease.Grant:
		end, alive := m.leases[s.id]
		if !alive {
			return nil
		}
		m.rev++
		claim := store.LeaseID(m.rev)
		s.claims[claim], m.leases[claim], s.reportedRenewal = true, end, s.renewedAt
		return lease.Granted{Lease: claim, Sent: s.renewedAt}
	case lease.Renew:
		if _, alive := m.leases[act.Lease]; !alive {
			return lease.Failed{LeaseNotFound: true}
		}
		if s.renewedAt <= s.reportedRenewal {
			return nil
		}
		s.reportedRenewal = s.renewedAt
		return lease.Renewed{Sent: s.renewedAt}
	case lease.Revoke:
		if m.holderLease == act.Lease {
			m.holderLease = 0
		}
		return lease.Revoked{}
	}
	return m.apply(c.action, c.sent)
}

// TestElectorRandom for candidates in a Session, whose release does not undo a claim in
// flight. In adversarial runs the leases of live leaders are revoked as well.
func TestElectorInSessionRandom(t *testing.T) {
	leaderships := 0
	for seed := range *runCount {
		s := newSimulation(uint64(seed))
		for range s.candidates {
			s.sessions = append(s.sessions, &simSession{})
		}
		for range stepsPerRun {
			s.randomStep()
			if s.adversarial && s.rng.IntN(500) == 0 {
				s.revokeSession(s.rng.IntN(len(s.sessions)))
			}
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
