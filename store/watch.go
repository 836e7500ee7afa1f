package store

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
)

const (
	watchBackoffMin = 20 * time.Millisecond
	watchBackoffMax = 5 * time.Second
)

// Watch implements Store. It reconnects with exponential backoff from the revision
// after the last one delivered, so that a lost connection causes neither a gap nor a
// repetition. A connection without a message for Options.WatchIdleTimeout, although
// progress notices were requested, is replaced. Reconnecting waits for the rate limit.
//
// ErrCompacted is also returned if the store's revision has decreased or its cluster ID
// has changed, as after a restore from a backup: the caller's state is then invalid,
// and it has to list again. An endpoint that lags behind the one that was listed has
// the same effect.
//
// If from is zero, the watch starts at the store's revision when it is first opened.
func (c *Client) Watch(ctx context.Context, prefix string, from Revision, deliver func(WatchBatch)) error {
	w := &watcher{client: c, prefix: prefix, lastRevision: from - 1, deliver: deliver}
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = watchBackoffMin
	retryDelay.MaxInterval = watchBackoffMax
	for i := 0; ; i++ {
		if err := c.limiter.Wait(ctx); err != nil {
			return watchError(ctx, err)
		}
		c.counts.watch.Add(1)
		delivered, err := w.watchOnce(ctx, c.endpoint(i))
		if eris.Is(err, ErrCompacted) {
			return err
		}
		if delivered {
			retryDelay.Reset()
		}
		if !sleep(ctx, retryDelay.NextBackOff()) {
			return ctx.Err()
		}
	}
}

// watchError returns the context's error if ctx has ended, and ErrUnavailable
// otherwise.
func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}
