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

// Watch implements Store. It reconnects, with growing random pauses, from the
// revision after the last one delivered, so that cuts cause neither a gap nor
// a repetition. A connection that stays silent for Options.WatchIdle, although
// progress notices were asked for, is replaced.
//
// ErrCompacted is also returned where the store's revisions have gone back or
// its identity has changed, as after a restore from a backup: what was
// delivered no longer describes it, and the caller lists again. An endpoint
// that lags behind the one that was listed looks the same and has the same
// consequence.
//
// A from of zero starts at the store's revision when the watch is first opened.
//
// Where the process's budget is used up, reconnecting waits.
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

// watchError prefers the context's own error.
func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}
