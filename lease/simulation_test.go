package lease_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// randomStep makes one step: usually progress, sometimes a fault or a pause.
func (s *simulation) randomStep() {
	i := s.rng.IntN(len(s.candidates))
	switch n := s.rng.IntN(100); {
	case n < 84 && s.store.now < s.candidates[i].pausedUntil:
	case n < 40:
		s.renewSession(i)
		s.deliverRequest(i, false)
	case n < 76:
		s.deliverReply(i, false)
	case n < 80:
		s.deliverReply(i, true)
	case n < 84:
		s.deliverRequest(i, true)
	case n < 88:
		s.deliverLateRequest()
	case n < 97:
		s.store.now += time.Duration(s.rng.IntN(300)) * time.Millisecond
	case n < 98 && s.rng.IntN(6) == 0:
		s.candidates[i].pausedUntil = s.store.now + time.Duration(s.rng.Int64N(int64(2*ttl)))
	case n < 99:
		if s.adversarial && s.rng.IntN(10) == 0 {
			s.store.holderLease = 0 // an operator deletes the key
		}
	default:
		c := s.candidates[i]
		held, ok := c.Leadership()
		switch {
		case ok && s.rng.IntN(2) == 0:
			c.step(s.store.now, lease.HigherEpoch{Epoch: s.store.epoch + 1})
		case ok:
			c.step(s.store.now, lease.Yield{Epoch: held.Epoch - uint64(s.rng.IntN(2))})
		}
	}
}

// simulation has three candidates, one store, and requests that arrive late.
type simulation struct {
	rng            *rand.Rand
	store          *storeModel
	adversarial    bool // clocks run at any rate, and keys are deleted
	candidates     []*simCandidate
	sessions       []*simSession // one for each candidate; nil: leases of their own
	lateRequests   []lease.Action
	lastLeadership lease.Leadership // the newest valid leadership seen
	lastLeader     *simCandidate
	leaderships    int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), adversarial: seed%2 == 1, store: &storeModel{leases: make(map[store.LeaseID]time.Duration)}}
	for i, rate := range []time.Duration{99, 100, 101} {
		if s.adversarial {
			rate = 10 + time.Duration(s.rng.IntN(150))
		}
		c := &simCandidate{Elector: lease.NewElector(ttl), ratePercent: rate, offset: time.Duration(i) * time.Hour}
		c.step(0, lease.Start{})
		s.candidates = append(s.candidates, c)
	}
	return s
}

// deliverRequest lets a request reach the store, or keeps it in flight for later while
// its sender fails.
func (s *simulation) deliverRequest(i int, late bool) {
	c := s.candidates[i]
	switch {
	case c.reply != nil:
	case late:
		s.lateRequests = append(s.lateRequests, c.action)
		c.reply = lease.Failed{}
		if _, ok := c.action.(lease.Revoke); ok {
			c.reply = lease.Revoked{}
		}
	case s.sessions != nil:
		c.reply = s.sessions[i].apply(s.store, c)
	default:
		c.reply = s.store.apply(c.action, c.sent)
	}
}

// deliverReply passes the event to a candidate, or Failed in its place. The candidate
// may have been paused since the request.
func (s *simulation) deliverReply(i int, loseReply bool) {
	c := s.candidates[i]
	if c.reply == nil {
		return
	}
	_, revoked := c.reply.(lease.Revoked)
	if loseReply && !revoked {
		c.reply = lease.Failed{}
	}
	c.step(s.store.now, c.reply)
}

func (s *simulation) deliverLateRequest() {
	if len(s.lateRequests) > 0 {
		s.store.apply(s.lateRequests[0], 0)
		s.lateRequests = s.lateRequests[1:]
	}
}

// checkInvariants checks that at most one candidate is valid, with growing epochs,
// while clocks are accurate. Whatever the clocks do, the owner of the holder key must
// have the highest epoch, so that no Fence refuses it.
func (s *simulation) checkInvariants() string {
	for _, c := range s.candidates {
		if err := s.checkCandidate(c); err != "" {
			return err
		}
	}
	return ""
}

func (s *simulation) checkCandidate(c *simCandidate) string {
	held, ok := c.validLeadership(s.store.now)
	if !ok {
		return ""
	}
	if c != s.lastLeader || held.Epoch != s.lastLeadership.Epoch {
		s.leaderships++
	}
	for _, other := range s.candidates {
		otherHeld, valid := other.validLeadership(s.store.now)
		if !valid || other == c {
			continue
		}
		if !s.adversarial {
			return fmt.Sprintf("two valid leaders, epochs %d and %d", held.Epoch, otherHeld.Epoch)
		}
		if s.ownsHolderKey(c) && otherHeld.Epoch >= held.Epoch {
			return fmt.Sprintf("owner of the holder key has epoch %d, another candidate %d", held.Epoch, otherHeld.Epoch)
		}
	}
	if !s.adversarial && held.Epoch < s.lastLeadership.Epoch || held.Epoch == s.lastLeadership.Epoch && c != s.lastLeader {
		return fmt.Sprintf("epoch %d after %d", held.Epoch, s.lastLeadership.Epoch)
	}
	s.lastLeadership, s.lastLeader = held, c
	return ""
}

// ownsHolderKey reports whether the holder key in the store is the candidate's.
func (s *simulation) ownsHolderKey(c *simCandidate) bool {
	s.store.expireLeases()
	return s.store.holderLease != 0 && s.store.holderLease == c.claimLease
}

// runUntilLeader runs without faults until there is a leader.
func (s *simulation) runUntilLeader() string {
	for _, c := range s.candidates {
		c.pausedUntil = 0
	}
	for range 1000 {
		for i, c := range s.candidates {
			s.renewSession(i)
			s.deliverRequest(i, false)
			s.deliverReply(i, false)
			if err := s.checkInvariants(); err != "" {
				return err
			}
			if _, ok := c.validLeadership(s.store.now); ok {
				return ""
			}
		}
		s.store.now += ttl / 50
	}
	return "no leader after running without faults"
}
