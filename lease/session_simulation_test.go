package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// session is the lease that a candidate's process shares between its duties, on
// virtual time. To the model each grant from it is a lease that lapses with it;
// the name of that lease stands for the token of the claim.
type session struct {
	id     store.LeaseID // zero: none yet
	claims map[store.LeaseID]bool
	sent   time.Duration // of the last renewal, on the candidate's clock
	taken  time.Duration // of the last renewal that the Elector was told of
	asked  *time.Duration
}

// renew sends a renewal, or has the one that was sent take effect and answered.
func (w *world) renew(i int) {
	if w.sessions == nil {
		return
	}
	s, clock := w.sessions[i], w.candidates[i].clock(w.store.now)
	if s.asked == nil {
		s.asked = &clock
		return
	}
	w.store.lapse()
	if _, alive := w.store.leases[s.id]; !alive {
		w.store.rev++
		s.id, s.claims = store.LeaseID(w.store.rev), map[store.LeaseID]bool{}
	}
	w.store.leases[s.id] = w.store.now + ttl
	for claim := range s.claims {
		w.store.leases[claim] = w.store.now + ttl
	}
	s.sent, s.asked = *s.asked, nil
}

// revoke ends the session's lease, as another process does that takes this one
// for dead.
func (w *world) revoke(i int) {
	s := w.sessions[i]
	w.store.drop(s.id)
	for claim := range s.claims {
		w.store.drop(claim)
	}
}

func (s *session) apply(m *model, c *candidate) lease.Event {
	m.lapse()
	switch act := c.act.(type) {
	case lease.AwaitVacant:
		if s.claims[m.holder] {
			m.holder = 0 // a claim that came late
		}
	case lease.Grant:
		end, alive := m.leases[s.id]
		if !alive {
			return nil
		}
		m.rev++
		claim := store.LeaseID(m.rev)
		s.claims[claim], m.leases[claim], s.taken = true, end, s.sent
		return lease.Granted{Lease: claim, Sent: s.sent}
	case lease.Renew:
		if _, alive := m.leases[act.Lease]; !alive {
			return lease.Failed{LeaseNotFound: true}
		}
		if s.sent <= s.taken {
			return nil
		}
		s.taken = s.sent
		return lease.Renewed{Sent: s.sent}
	case lease.Revoke:
		if m.holder == act.Lease {
			m.holder = 0
		}
		return lease.Revoked{}
	}
	return m.apply(c.act, c.sent)
}

// Three entries share one lease each between their duties, and give a duty up by
// deleting its key: a claim on its way is not undone by that and may take effect
// at any time later. Never may two plan at once, nor a successor have the lower
// epoch. In the wild half of the runs the leases of live entries are revoked
// besides, as of dead ones: two may be valid then until the first one's next
// renewal, but the one whose key is in the store has the highest epoch.
func TestElectorInSessionRandom(t *testing.T) {
	leaderships := 0
	for seed := range *runs {
		w := newWorld(uint64(seed))
		for range w.candidates {
			w.sessions = append(w.sessions, &session{})
		}
		for range steps {
			w.disturb()
			if w.wild && w.rng.IntN(500) == 0 {
				w.revoke(w.rng.IntN(len(w.sessions)))
			}
			if err := w.check(); err != "" {
				t.Fatalf("seed %d: %s", seed, err)
			}
		}
		if err := w.settle(); err != "" {
			t.Fatalf("seed %d: %s", seed, err)
		}
		leaderships += w.holdings
	}
	t.Logf("%d runs, %d holdings", *runs, leaderships)
	qt.Assert(t, leaderships > 5**runs, qt.IsTrue)
}
