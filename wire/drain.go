package wire

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Drain stops the endpoint gracefully: it rejects new connections and exchanges
// (callers get ErrDraining, which matches ErrNotHandled), waits for running handlers,
// and drains each connection. If ctx ends first, the remaining work continues and ctx's
// error is returned. In either case, close the endpoint afterwards.
func (ep *Endpoint) Drain(ctx context.Context) error {
	select {
	case <-ep.handling.stop():
	case <-ctx.Done():
		return ctx.Err()
	}
	var group errgroup.Group
	for _, c := range ep.Conns() {
		group.Go(func() error { return c.Drain(ctx) })
	}
	return group.Wait()
}

// Drain closes the connection once both ends have received the replies to their calls.
// It returns nil if the connection ends meanwhile.
func (c *Conn) Drain(ctx context.Context) error {
	select {
	case <-c.beginDrain():
	case <-c.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	// The peer answers GoAway when it has received all replies. Closing without it
	// would lose a reply that QUIC still has to retransmit.
	if _, err := c.exchange(ctx, &GoAway{}); err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	c.Close()
	return nil
}
