package store

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Client is the Store over HTTP. It is safe for concurrent use and owns no
// goroutine.
type Client struct {
	opts      Options
	limiter   *rate.Limiter
	counts    counters
	preferred atomic.Int64 // index of the endpoint to try first
}

var _ Store = (*Client)(nil)

// NewClient returns a Client. Nothing is sent before the first call.
func NewClient(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{opts: opts, limiter: rate.NewLimiter(opts.RateLimit, opts.Burst)}
}

// Calls returns what the Client has asked of the service so far.
func (c *Client) Calls() CallCounts { return c.counts.snapshot() }

// Close closes the Client's unused connections. Calls and watches in progress
// end with their contexts.
func (c *Client) Close() { c.opts.HTTP.CloseIdleConnections() }

// allowCalls takes n calls from the budget, all or none.
func (c *Client) allowCalls(n int) error {
	if c.limiter.AllowN(time.Now(), n) {
		return nil
	}
	c.counts.refused.Add(1)
	return ErrRateLimited
}

// chargeCall takes one call from the budget without ever refusing it. Renewing and
// revoking leases, and learning what became of a lost reply, must not fail
// because other calls were many; the later ones pay for it.
func (c *Client) chargeCall() { c.limiter.ReserveN(time.Now(), 1) }

// endpoint returns the base URL to try on the given attempt.
func (c *Client) endpoint(attempt int) string {
	i := int(c.preferred.Load()) + attempt
	return c.opts.Endpoints[i%len(c.opts.Endpoints)]
}

// setPreferred makes the endpoint of the given attempt the first to be tried.
func (c *Client) setPreferred(attempt int) {
	if attempt > 0 {
		i := int(c.preferred.Load()) + attempt
		c.preferred.Store(int64(i % len(c.opts.Endpoints)))
	}
}

// maxAttempts is how often a call that may be repeated is tried: each endpoint
// once, and a single one twice, since its open connection may have gone silent
// while a new one works.
func (c *Client) maxAttempts() int { return max(2, len(c.opts.Endpoints)) }

// closeIdleConnections closes the idle connections after a timeout. Open connections can go
// silent for good; the others of the pool, as old as the one that timed out,
// are not trusted either.
func (c *Client) closeIdleConnections() {
	if t, ok := c.opts.HTTP.Transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}
