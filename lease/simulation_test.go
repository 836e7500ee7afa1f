package lease_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// disturb does one thing: mostly progress, sometimes a fault or a pause.
func (w *world) disturb() {
	i := w.rng.IntN(len(w.candidates))
	switch n := w.rng.IntN(100); {
	case n < 84 && w.store.now < w.candidates[i].paused:
	case n < 40:
		w.renew(i)
		w.reach(i, false)
	case n < 76:
		w.answer(i, false)
	case n < 80:
		w.answer(i, true)
	case n < 84:
		w.reach(i, true)
	case n < 88:
		w.arrive()
	case n < 97:
		w.store.now += time.Duration(w.rng.IntN(300)) * time.Millisecond
	case n < 98 && w.rng.IntN(6) == 0:
		w.candidates[i].paused = w.store.now + time.Duration(w.rng.Int64N(int64(2*ttl)))
	case n < 99:
		if w.wild && w.rng.IntN(10) == 0 {
			w.store.holder = 0 // an operator deletes the key
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

// world is three candidates, one store, and requests that will arrive late.
type world struct {
	rng        *rand.Rand
	store      *model
	wild       bool // clocks run at any rate, and keys are deleted
	candidates []*candidate
	sessions   []*session // one for each candidate; nil: leases of their own
	late       []lease.Action
	last       lease.Leadership // the newest valid holding seen
	lastBy     *candidate
	holdings   int
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0)), wild: seed%2 == 1, store: &model{leases: make(map[store.LeaseID]time.Duration)}}
	for i, rate := range []time.Duration{99, 100, 101} {
		if w.wild {
			rate = 10 + time.Duration(w.rng.IntN(150))
		}
		c := &candidate{Elector: lease.NewElector(ttl), rate: rate, offset: time.Duration(i) * time.Hour}
		c.step(0, lease.Start{})
		w.candidates = append(w.candidates, c)
	}
	return w
}

// reach lets a request reach the store, or leaves it on its way for later while
// the caller gives up.
func (w *world) reach(i int, late bool) {
	c := w.candidates[i]
	switch {
	case c.event != nil:
	case late:
		w.late = append(w.late, c.act)
		c.event = lease.Failed{}
		if _, ok := c.act.(lease.Revoke); ok {
			c.event = lease.Revoked{}
		}
	case w.sessions != nil:
		c.event = w.sessions[i].apply(w.store, c)
	default:
		c.event = w.store.apply(c.act, c.sent)
	}
}

// answer gives a candidate its event, or Failed in its place. However long it
// was on its way, the candidate may have been paused meanwhile.
func (w *world) answer(i int, loseReply bool) {
	c := w.candidates[i]
	if c.event == nil {
		return
	}
	_, revoked := c.event.(lease.Revoked)
	if loseReply && !revoked {
		c.event = lease.Failed{}
	}
	c.step(w.store.now, c.event)
}

func (w *world) arrive() {
	if len(w.late) > 0 {
		w.store.apply(w.late[0], 0)
		w.late = w.late[1:]
	}
}

// check asserts that one candidate at most is valid, with growing epochs,
// while clocks are right; and whatever the clocks do, that the one whose key is
// in the store has the highest epoch, so that no Fence shuts it out.
func (w *world) check() string {
	for _, c := range w.candidates {
		if err := w.checkOne(c); err != "" {
			return err
		}
	}
	return ""
}

func (w *world) checkOne(c *candidate) string {
	held, ok := c.valid(w.store.now)
	if !ok {
		return ""
	}
	if c != w.lastBy || held.Epoch != w.last.Epoch {
		w.holdings++
	}
	for _, other := range w.candidates {
		otherHeld, valid := other.valid(w.store.now)
		if !valid || other == c {
			continue
		}
		if !w.wild {
			return fmt.Sprintf("two valid holders, epochs %d and %d", held.Epoch, otherHeld.Epoch)
		}
		if w.owns(c) && otherHeld.Epoch >= held.Epoch {
			return fmt.Sprintf("owner of the key has epoch %d, another %d", held.Epoch, otherHeld.Epoch)
		}
	}
	if !w.wild && held.Epoch < w.last.Epoch || held.Epoch == w.last.Epoch && c != w.lastBy {
		return fmt.Sprintf("epoch %d after %d", held.Epoch, w.last.Epoch)
	}
	w.last, w.lastBy = held, c
	return ""
}

// owns tells whether the holder key in the store is the candidate's.
func (w *world) owns(c *candidate) bool {
	w.store.lapse()
	return w.store.holder != 0 && w.store.holder == c.claimed
}

// settle runs without faults until somebody holds the duty.
func (w *world) settle() string {
	for _, c := range w.candidates {
		c.paused = 0
	}
	for range 1000 {
		for i, c := range w.candidates {
			w.renew(i)
			w.reach(i, false)
			w.answer(i, false)
			if err := w.check(); err != "" {
				return err
			}
			if _, ok := c.valid(w.store.now); ok {
				return ""
			}
		}
		w.store.now += ttl / 50
	}
	return "nobody holds the duty in the end"
}
