package lease_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// randomStep makes one step: usually progress, sometimes a fault or a pause.
func (w *simulation) randomStep() {
	i := w.rng.IntN(len(w.candidates))
	switch n := w.rng.IntN(100); {
	case n < 84 && w.store.now < w.candidates[i].pausedUntil:
	case n < 40:
		w.renewSession(i)
		w.deliverRequest(i, false)
	case n < 76:
		w.deliverReply(i, false)
	case n < 80:
		w.deliverReply(i, true)
	case n < 84:
		w.deliverRequest(i, true)
	case n < 88:
		w.deliverLateRequest()
	case n < 97:
		w.store.now += time.Duration(w.rng.IntN(300)) * time.Millisecond
	case n < 98 && w.rng.IntN(6) == 0:
		w.candidates[i].pausedUntil = w.store.now + time.Duration(w.rng.Int64N(int64(2*ttl)))
	case n < 99:
		if w.adversarial && w.rng.IntN(10) == 0 {
			w.store.holderLease = 0 // an operator deletes the key
		}
	default:
		c := w.candidates[i]
		held, ok := c.Leadership()
		switch {
		case ok && w.rng.IntN(2) == 0:
			c.step(w.store.now, lease.HigherEpoch{Epoch: w.store.epoch + 1})
		case ok:
			c.step(w.store.now, lease.Yield{Epoch: held.Epoch - uint64(w.rng.IntN(2))})
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
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), adversarial: seed%2 == 1, store: &storeModel{leases: make(map[store.LeaseID]time.Duration)}}
	for i, rate := range []time.Duration{99, 100, 101} {
		if w.adversarial {
			rate = 10 + time.Duration(w.rng.IntN(150))
		}
		c := &simCandidate{Elector: lease.NewElector(ttl), ratePercent: rate, offset: time.Duration(i) * time.Hour}
		c.step(0, lease.Start{})
		w.candidates = append(w.candidates, c)
	}
	return w
}

// deliverRequest lets a request reach the store, or keeps it in flight for later while
// its sender fails.
func (w *simulation) deliverRequest(i int, late bool) {
	c := w.candidates[i]
	switch {
	case c.reply != nil:
	case late:
		w.lateRequests = append(w.lateRequests, c.action)
		c.reply = lease.Failed{}
		if _, ok := c.action.(lease.Revoke); ok {
			c.reply = lease.Revoked{}
		}
	case w.sessions != nil:
		c.reply = w.sessions[i].apply(w.store, c)
	default:
		c.reply = w.store.apply(c.action, c.sent)
	}
}

// deliverReply passes the event to a candidate, or Failed in its place. The candidate
// may have been paused since the request.
func (w *simulation) deliverReply(i int, loseReply bool) {
	c := w.candidates[i]
	if c.reply == nil {
		return
	}
	_, revoked := c.reply.(lease.Revoked)
	if loseReply && !revoked {
		c.reply = lease.Failed{}
	}
	c.step(w.store.now, c.reply)
}

func (w *simulation) deliverLateRequest() {
	if len(w.lateRequests) > 0 {
		w.store.apply(w.lateRequests[0], 0)
		w.lateRequests = w.lateRequests[1:]
	}
}

// checkInvariants checks that at most one candidate is valid, with growing epochs,
// while clocks are accurate. Whatever the clocks do, the owner of the holder key must
// have the highest epoch, so that no Fence refuses it.
func (w *simulation) checkInvariants() string {
	for _, c := range w.candidates {
		if err := w.checkCandidate(c); err != "" {
			return err
		}
	}
	return ""
}

func (w *simulation) checkCandidate(c *simCandidate) string {
	held, ok := c.validLeadership(w.store.now)
	if !ok {
		return ""
	}
	if c != w.lastLeader || held.Epoch != w.lastLeadership.Epoch {
		w.leaderships++
	}
	for _, other := range w.candidates {
		otherHeld, valid := other.validLeadership(w.store.now)
		if !valid || other == c {
			continue
		}
		if !w.adversarial {
			return fmt.Sprintf("two valid holders, epochs %d and %d", held.Epoch, otherHeld.Epoch)
		}
		if w.ownsHolderKey(c) && otherHeld.Epoch >= held.Epoch {
			return fmt.Sprintf("owner of the key has epoch %d, another %d", held.Epoch, otherHeld.Epoch)
		}
	}
	if !w.adversarial && held.Epoch < w.lastLeadership.Epoch || held.Epoch == w.lastLeadership.Epoch && c != w.lastLeader {
		return fmt.Sprintf("epoch %d after %d", held.Epoch, w.lastLeadership.Epoch)
	}
	w.lastLeadership, w.lastLeader = held, c
	return ""
}

// ownsHolderKey reports whether the holder key in the store is the candidate's.
func (w *simulation) ownsHolderKey(c *simCandidate) bool {
	w.store.expireLeases()
	return w.store.holderLease != 0 && w.store.holderLease == c.claimLease
}

// runUntilLed runs without faults until there is a leader.
func (w *simulation) runUntilLed() string {
	for _, c := range w.candidates {
		c.pausedUntil = 0
	}
	for range 1000 {
		for i, c := range w.candidates {
			w.renewSession(i)
			w.deliverRequest(i, false)
			w.deliverReply(i, false)
			if err := w.checkInvariants(); err != "" {
				return err
			}
			if _, ok := c.validLeadership(w.store.now); ok {
				return ""
			}
		}
		w.store.now += ttl / 50
	}
	return "nobody holds the duty in the end"
}
