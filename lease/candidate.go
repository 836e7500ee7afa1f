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
	// minBackOff and maxBackOff are the first and the longest delay between failed
	// attempts.
	minBackOff = 100 * time.Millisecond
	maxBackOff = 5 * time.Second
)

// Candidate competes in one election until it resigns. It is safe for concurrent use.
type Candidate struct {
	opts              CandidateOptions
	tomb              tomb.Tomb
	current           atomic.Pointer[Leadership] // nil: not the leader
	resigned          atomic.Bool                // Resign was called
	observedEpoch     atomic.Uint64              // highest epoch passed to ObserveEpoch
	epochObserved     chan struct{}
	yieldEpoch        atomic.Uint64 // epoch last passed to Yield
	yieldRequested    chan struct{}
	takeoverRequested chan uint64 // epoch of the dead leader; unbuffered: only a wait in progress receives it

	// The fields below are owned by the goroutine of run.
	elector    *Elector
	store      candidateStore
	occupied   bool   // another process was found to be the leader
	claimValue []byte // value that this candidate wrote to the holder key
	epochSince uint64 // of the epoch that was last read; see ParseEpochSeries
	backOff    *backoff.ExponentialBackOff
}

// StartCandidate starts a goroutine that competes in the election.
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
		takeoverRequested: make(chan uint64),
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
	return &ownLeaseStore{store: c.opts.Store, holderKey: key, epochKey: epochKey(c.opts.Election), ttl: c.opts.TTL, clock: c.opts.Clock, onOccupied: c.noteOccupied, isStaleClaim: c.isStaleClaim, takeoverRequested: c.takeoverRequested}
}

// isStaleClaim reports whether the value of the holder key was written by an earlier
// process of this instance.
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

// Current returns the current leadership, and false if this candidate is not the
// leader. It takes no lock and compares the lease with the clock, so a process that was
// paused past the end of its lease gets false at once, before a renewal fails.
func (c *Candidate) Current() (Leadership, bool) {
	held := c.current.Load()
	if held == nil || c.resigned.Load() || c.opts.Clock() >= held.ValidUntil {
		return Leadership{}, false
	}
	return *held, true
}

// ObserveEpoch tells the Candidate that a receiver refused it because of a higher
// epoch. If it is still the leader, it continues with an epoch above that one.
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

// Yield ends the leadership if its epoch is still the given one, and competes again. It
// returns at once; OnChange is called when the leadership has ended. ClaimDelay lets
// other candidates claim first.
func (c *Candidate) Yield(epoch uint64) {
	c.yieldEpoch.Store(epoch)
	select {
	case c.yieldRequested <- struct{}{}:
	default:
	}
}

// ForceTakeover tells a waiting candidate that the leader with the given epoch is believed to be
// dead: the candidate deletes the leader's holder key instead of waiting for its lease to expire,
// unless a leader with a higher epoch has taken over. It reports whether the candidate was waiting.
// It has no effect with a Session.
//
// A leader that is alive may act as leader until its next renewal, for at most one TTL.
// Use this only for elections whose every effect is guarded by the epoch, and allow for
// what a live predecessor may still grant in that time.
func (c *Candidate) ForceTakeover(epoch uint64) bool {
	select {
	case c.takeoverRequested <- epoch:
		return true
	default:
		return false
	}
}

// Resign ends the leadership and the candidacy. Current is false from then on, and the
// next candidate takes over without waiting for the lease to expire. It returns when
// that is done, or the context's error; the lease then expires by itself at the latest.
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

// step passes an event to the Elector and publishes the resulting leadership.
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
			log.Info("leadership gained")
		} else {
			log.Info("leadership lost")
		}
	}
	if c.opts.OnChange != nil {
		c.opts.OnChange(held, ok)
	}
}

// actionContext returns the context of an action. It ends with the Candidate, and when
// the lease could have expired, so that a call that hangs can't delay the end of the
// leadership.
func (c *Candidate) actionContext() (context.Context, context.CancelFunc) {
	ctx := c.tomb.Context(context.Background())
	if until, ok := c.elector.Deadline(); ok {
		return context.WithTimeout(ctx, until-c.opts.Clock())
	}
	return context.WithCancel(ctx)
}

// wait waits for d. It returns early if the Candidate resigns or, if interruptible, if
// a higher epoch was observed, a yield was requested or the lease was lost.
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
