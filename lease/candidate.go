package lease

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"gopkg.in/tomb.v2"
)

const (
	// minBackOff and pauseMax are the first and the longest Pause.
	minBackOff = 100 * time.Millisecond
	maxBackOff = 5 * time.Second
)

// Candidate competes for one duty until it resigns. It is safe for concurrent use.
type Candidate struct {
	opts              CandidateOptions
	tomb              tomb.Tomb
	current           atomic.Pointer[Leadership] // nil: not held
	resigned          atomic.Bool                // Resign was called
	observedEpoch     atomic.Uint64              // highest epoch told to Observe
	epochObserved     chan struct{}
	yieldEpoch        atomic.Uint64 // epoch last told to Yield
	yieldRequested    chan struct{}
	takeoverRequested chan struct{} // has no buffer: only a wait in progress is told

	// Owned by the tomb's goroutine.
	elector    *Elector
	store      candidateStore
	occupied   bool   // another was found to hold the duty
	claimValue []byte // value of the holder key that is ours
	backOff    *backoff.ExponentialBackOff
}

// StartCandidate starts a Holder.
func StartCandidate(opts CandidateOptions) *Candidate {
	if s := opts.Session; s != nil {
		opts.Store, opts.TTL, opts.Clock = s.opts.Store, s.opts.TTL, s.opts.Clock
	}
	if opts.Clock == nil {
		opts.Clock = BootTime
	}
	c := &Candidate{
		opts:              opts,
		epochObserved:     make(chan struct{}, 1),
		yieldRequested:    make(chan struct{}, 1),
		takeoverRequested: make(chan struct{}),
		elector:           NewElector(opts.TTL),
		backOff:           backoff.NewExponentialBackOff(),
	}
	c.backOff.InitialInterval = minBackOff
	c.backOff.MaxInterval = maxBackOff
	if opts.MaxRetryDelay > 0 {
		c.backOff.MaxInterval = opts.MaxRetryDelay
	}
	c.backOff.Reset()
	c.store = c.newStore()
	c.tomb.Go(c.run)
	return c
}

func (c *Candidate) newStore() candidateStore {
	key := holderKey(c.opts.Election)
	if s := c.opts.Session; s != nil {
		return &sharedLeaseStore{session: s, holderKey: key, onOccupied: c.noteOccupied}
	}
	return &ownLeaseStore{store: c.opts.Store, holderKey: key, ttl: c.opts.TTL, clock: c.opts.Clock, onOccupied: c.noteOccupied, isStaleClaim: c.isStaleClaim, takeoverRequested: c.takeoverRequested}
}

// isStaleClaim says whether the value of the holder key was written by an earlier process
// of this instance.
func (c *Candidate) isStaleClaim(value []byte) bool {
	if !c.opts.RemoveStaleClaim {
		return false
	}
	var r record
	return json.Unmarshal(value, &r) == nil && r.Instance == c.opts.Instance
}

func (c *Candidate) noteOccupied() {
	c.occupied = true
	c.backOff.Reset()
}

// Current returns the present holding, and false where the duty is not held.
// It takes no lock and reads the clock, so that a process that was paused past
// the end of its lease gets false at once, before any renewal has failed.
func (c *Candidate) Current() (Leadership, bool) {
	held := c.current.Load()
	if held == nil || c.resigned.Load() || c.opts.Clock() >= held.ValidUntil {
		return Leadership{}, false
	}
	return *held, true
}

// ObserveEpoch tells the Holder that a receiver refused it with a higher epoch. It
// goes on with one above it, if it still holds the duty.
func (c *Candidate) ObserveEpoch(epoch uint64) {
	for {
		known := c.observedEpoch.Load()
		if epoch <= known {
			return
		}
		if c.observedEpoch.CompareAndSwap(known, epoch) {
			break
		}
	}
	select {
	case c.epochObserved <- struct{}{}:
	default:
	}
}

// Yield gives the duty up if it is still held under epoch, and goes on as a
// candidate. It returns at once; Changed tells when it is done. With Hesitate
// others can come first.
func (c *Candidate) Yield(epoch uint64) {
	c.yieldEpoch.Store(epoch)
	select {
	case c.yieldRequested <- struct{}{}:
	default:
	}
}

// ForceTakeover tells a waiting candidate that the present holder is believed to be dead: its
// claim is removed, instead of waiting for its lease to lapse. It returns whether the
// candidate was waiting. With a Session it has no effect.
//
// A holder that lives after all notices with its next renewal, and may believe in its
// lease until that would have lapsed. So this is only for duties whose every effect is
// guarded by the epoch, and whoever takes over reckons with what a living predecessor
// may still promise for a TTL.
func (c *Candidate) ForceTakeover() bool {
	select {
	case c.takeoverRequested <- struct{}{}:
		return true
	default:
		return false
	}
}

// Resign gives the duty up for good: Current is false from then on, and the
// next candidate takes over at once, without waiting for the lease to lapse.
// It returns when that is done, or with the context's error; the lease then
// lapses by itself at worst.
func (c *Candidate) Resign(ctx context.Context) error {
	c.resigned.Store(true)
	c.tomb.Kill(nil)
	select {
	case <-c.tomb.Dead():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Candidate) run() error {
	act := c.step(Start{})
	resignSent := false
	for {
		if !resignSent && !c.tomb.Alive() {
			resignSent = true
			act = c.step(Resign{})
		}
		if _, done := act.(Done); done {
			return nil
		}
		act = c.step(c.perform(act))
	}
}

// step lets the Elector decide and publishes what it holds.
func (c *Candidate) step(ev Event) Action {
	act := c.elector.Step(c.opts.Clock(), ev)
	held, ok := c.elector.Leadership()
	previous := c.current.Load()
	switch {
	case ok && (previous == nil || *previous != held):
		c.current.Store(&held)
	case !ok && previous != nil:
		c.current.Store(nil)
	}
	if ok != (previous != nil) || ok && held.Epoch != previous.Epoch {
		c.notifyChange(held, ok)
	}
	return act
}

func (c *Candidate) notifyChange(held Leadership, ok bool) {
	if ok {
		c.backOff.Reset()
	}
	if c.opts.Log != nil {
		log := c.opts.Log.WithField("duty", c.opts.Election).WithField("epoch", held.Epoch)
		if ok {
			log.Info("duty gained")
		} else {
			log.Info("duty lost")
		}
	}
	if c.opts.OnChange != nil {
		c.opts.OnChange(held, ok)
	}
}

// actionContext returns the actionContext of an action: it ends with the Holder, and when
// the lease could have lapsed, so that a call that hangs cannot keep the
// Holder from dropping the duty.
func (c *Candidate) actionContext() (context.Context, context.CancelFunc) {
	ctx := c.tomb.Context(context.Background())
	if until, ok := c.elector.Deadline(); ok {
		return context.WithTimeout(ctx, until-c.opts.Clock())
	}
	return context.WithCancel(ctx)
}

// wait waits for d and returns early where the Holder resigns or, with
// listen, where a higher epoch was observed, the duty is to be yielded, or the
// lease was lost.
func (c *Candidate) wait(d time.Duration, interruptible bool) Event {
	timer := time.NewTimer(d)
	defer timer.Stop()
	observe, yield, lost := c.epochObserved, c.yieldRequested, c.store.lost()
	if !interruptible {
		observe, yield, lost = nil, nil, nil
	}
	select {
	case <-timer.C:
	case <-c.tomb.Dying():
	case <-lost:
	case <-observe:
		return HigherEpoch{Epoch: c.observedEpoch.Load()}
	case <-yield:
		return Yield{Epoch: c.yieldEpoch.Load()}
	}
	return WaitEnded{}
}
