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
	// pauseFirst and pauseMax are the first and the longest Pause.
	pauseFirst = 100 * time.Millisecond
	pauseMax   = 5 * time.Second
)

// Candidate competes for one duty until it resigns. It is safe for concurrent use.
type Candidate struct {
	opts    CandidateOptions
	tomb    tomb.Tomb
	current atomic.Pointer[Leadership] // nil: not held
	over    atomic.Bool                // Resign was called
	seen    atomic.Uint64              // highest epoch told to Observe
	observe chan struct{}
	unwant  atomic.Uint64 // epoch last told to Yield
	yield   chan struct{}
	depose  chan struct{} // has no buffer: only a wait in progress is told

	// Owned by the tomb's goroutine.
	elector *Elector
	tenure  tenure
	taken   bool   // another was found to hold the duty
	claim   []byte // value of the holder key that is ours
	pause   *backoff.ExponentialBackOff
}

// StartCandidate starts a Holder.
func StartCandidate(opts CandidateOptions) *Candidate {
	if s := opts.Session; s != nil {
		opts.Store, opts.TTL, opts.Clock = s.opts.Store, s.opts.TTL, s.opts.Clock
	}
	if opts.Clock == nil {
		opts.Clock = BootTime
	}
	h := &Candidate{
		opts:    opts,
		observe: make(chan struct{}, 1),
		yield:   make(chan struct{}, 1),
		depose:  make(chan struct{}),
		elector: NewElector(opts.TTL),
		pause:   backoff.NewExponentialBackOff(),
	}
	h.pause.InitialInterval = pauseFirst
	h.pause.MaxInterval = pauseMax
	if opts.MaxRetryDelay > 0 {
		h.pause.MaxInterval = opts.MaxRetryDelay
	}
	h.pause.Reset()
	h.tenure = h.newTenure()
	h.tomb.Go(h.run)
	return h
}

func (h *Candidate) newTenure() tenure {
	key := holderKey(h.opts.Election)
	if s := h.opts.Session; s != nil {
		return &sharedTenure{s: s, key: key, taken: h.foundTaken}
	}
	return &ownTenure{store: h.opts.Store, key: key, ttl: h.opts.TTL, clock: h.opts.Clock, taken: h.foundTaken, left: h.leftBehind, depose: h.depose}
}

// leftBehind says whether the value of the holder key was written by an earlier process
// of this instance.
func (h *Candidate) leftBehind(value []byte) bool {
	if !h.opts.RemoveStaleClaim {
		return false
	}
	var r record
	return json.Unmarshal(value, &r) == nil && r.Instance == h.opts.Instance
}

func (h *Candidate) foundTaken() {
	h.taken = true
	h.pause.Reset()
}

// Current returns the present holding, and false where the duty is not held.
// It takes no lock and reads the clock, so that a process that was paused past
// the end of its lease gets false at once, before any renewal has failed.
func (h *Candidate) Current() (Leadership, bool) {
	held := h.current.Load()
	if held == nil || h.over.Load() || h.opts.Clock() >= held.ValidUntil {
		return Leadership{}, false
	}
	return *held, true
}

// ObserveEpoch tells the Holder that a receiver refused it with a higher epoch. It
// goes on with one above it, if it still holds the duty.
func (h *Candidate) ObserveEpoch(epoch uint64) {
	for {
		seen := h.seen.Load()
		if epoch <= seen {
			return
		}
		if h.seen.CompareAndSwap(seen, epoch) {
			break
		}
	}
	select {
	case h.observe <- struct{}{}:
	default:
	}
}

// Yield gives the duty up if it is still held under epoch, and goes on as a
// candidate. It returns at once; Changed tells when it is done. With Hesitate
// others can come first.
func (h *Candidate) Yield(epoch uint64) {
	h.unwant.Store(epoch)
	select {
	case h.yield <- struct{}{}:
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
func (h *Candidate) ForceTakeover() bool {
	select {
	case h.depose <- struct{}{}:
		return true
	default:
		return false
	}
}

// Resign gives the duty up for good: Current is false from then on, and the
// next candidate takes over at once, without waiting for the lease to lapse.
// It returns when that is done, or with the context's error; the lease then
// lapses by itself at worst.
func (h *Candidate) Resign(ctx context.Context) error {
	h.over.Store(true)
	h.tomb.Kill(nil)
	select {
	case <-h.tomb.Dead():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Candidate) run() error {
	act := h.step(Start{})
	told := false
	for {
		if !told && !h.tomb.Alive() {
			told = true
			act = h.step(Resign{})
		}
		if _, done := act.(Done); done {
			return nil
		}
		act = h.step(h.perform(act))
	}
}

// step lets the Elector decide and publishes what it holds.
func (h *Candidate) step(ev Event) Action {
	act := h.elector.Step(h.opts.Clock(), ev)
	held, ok := h.elector.Leadership()
	before := h.current.Load()
	switch {
	case ok && (before == nil || *before != held):
		h.current.Store(&held)
	case !ok && before != nil:
		h.current.Store(nil)
	}
	if ok != (before != nil) || ok && held.Epoch != before.Epoch {
		h.changed(held, ok)
	}
	return act
}

func (h *Candidate) changed(held Leadership, ok bool) {
	if ok {
		h.pause.Reset()
	}
	if h.opts.Log != nil {
		log := h.opts.Log.WithField("duty", h.opts.Election).WithField("epoch", held.Epoch)
		if ok {
			log.Info("duty gained")
		} else {
			log.Info("duty lost")
		}
	}
	if h.opts.OnChange != nil {
		h.opts.OnChange(held, ok)
	}
}

// context returns the context of an action: it ends with the Holder, and when
// the lease could have lapsed, so that a call that hangs cannot keep the
// Holder from dropping the duty.
func (h *Candidate) context() (context.Context, context.CancelFunc) {
	ctx := h.tomb.Context(context.Background())
	if until, ok := h.elector.Deadline(); ok {
		return context.WithTimeout(ctx, until-h.opts.Clock())
	}
	return context.WithCancel(ctx)
}

// sleep waits for d and returns early where the Holder resigns or, with
// listen, where a higher epoch was observed, the duty is to be yielded, or the
// lease was lost.
func (h *Candidate) sleep(d time.Duration, listen bool) Event {
	timer := time.NewTimer(d)
	defer timer.Stop()
	observe, yield, lost := h.observe, h.yield, h.tenure.lost()
	if !listen {
		observe, yield, lost = nil, nil, nil
	}
	select {
	case <-timer.C:
	case <-h.tomb.Dying():
	case <-lost:
	case <-observe:
		return HigherEpoch{Epoch: h.seen.Load()}
	case <-yield:
		return Yield{Epoch: h.unwant.Load()}
	}
	return WaitEnded{}
}
