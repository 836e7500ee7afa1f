package gateway

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
)

// stepDown ends the term after a write was rejected permanently, and gives up the planner
// lease.
func (t *term) stepDown(err error) {
	if t.tomb.Alive() {
		t.log.WithError(err).Warn("planner term ended")
	}
	t.freeze()
	t.g.plannerLease.Yield(t.epoch)
}

// write starts writing the engine's changes and returns them, or nil if there are none or the
// lease has expired. The outcome is sent to result.
func (t *term) write(result chan<- error) *engine.Write {
	if !t.active() {
		return nil // changes that are taken from the engine have to be written
	}
	w := t.engine.PendingChanges(lease.BootTime(), time.Now(), maxRecordsPerWrite)
	t.mu.Lock()
	t.idle = w.Empty()
	t.mu.Unlock()
	if w.Empty() {
		return nil
	}
	go func() { result <- t.writeUntilResolved(w) }()
	return &w
}

// writeUntilResolved retries a write until its outcome is certain, or the lease is lost or the
// term ends. An attempt whose reply was lost may take effect until then.
func (t *term) writeUntilResolved(w engine.Write) error {
	ctx := t.tomb.Context(context.Background())
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = writeRetryDelay
	delay.MaxInterval = maxWriteRetryDelay
	for failures := 0; ; failures++ {
		t.g.counters.Writes.Add(1)
		err := t.store.Write(ctx, w)
		if err == nil && failures > 0 {
			t.log.WithField("failures", failures).Info("records written after earlier failures")
		}
		if err == nil || isPermanent(err) || !t.tomb.Alive() || t.frozen.Load() {
			return err
		}
		t.g.counters.WriteFailures.Add(1)
		if failures == 0 {
			t.log.WithError(err).Warn("failed to write records; retrying")
		}
		t.pause(delay.NextBackOff())
	}
}

func (t *term) notifyWriteDone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.writeDone)
	t.writeDone = make(chan struct{})
}

// flush waits until all decisions are written, the lease expires or ctx ends.
func (t *term) flush(ctx context.Context) {
	for t.active() && ctx.Err() == nil {
		t.mu.Lock()
		idle := t.idle
		t.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
