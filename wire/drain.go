package wire

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Drain stops gracefully: it refuses new connections and exchanges (callers
// see ErrDraining, which is ErrNotSent), waits for running handlers, and closes
// each connection once both ends have received the replies to their calls.
// When ctx ends first, what is left keeps running and ctx's error is returned.
// Close the endpoint afterwards in either case.
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

// Drain closes the connection without losing a reply in either direction. A
// connection that ends meanwhile is no error.
func (c *Conn) Drain(ctx context.Context) error {
	select {
	case <-c.beginDrain():
	case <-c.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	// The peer answers GoAway when all replies have reached it. Closing
	// without asking would drop a reply that QUIC still has to retransmit.
	if _, err := c.exchange(ctx, &GoAway{}); err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	c.Close()
	return nil
}
