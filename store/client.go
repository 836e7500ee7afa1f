package store

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Client implements Store over HTTP. It is safe for concurrent use and owns no
// goroutine.
type Client struct {
	opts      Options
	limiter   *rate.Limiter
	counts    counters
	preferred atomic.Int64 // index of the endpoint to try first
}

var _ Store = (*Client)(nil)

// NewClient returns a Client. It makes no connection before the first call.
func NewClient(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{opts: opts, limiter: rate.NewLimiter(opts.RateLimit, opts.Burst)}
}

// Calls returns the calls made so far.
func (c *Client) Calls() CallCounts { return c.counts.snapshot() }

// Close closes idle connections. Calls and watches in progress end with their contexts.
func (c *Client) Close() { c.opts.HTTP.CloseIdleConnections() }

// allowCalls takes n calls from the rate limit, all or none. It returns ErrRateLimited
// if they are not available.
func (c *Client) allowCalls(n int) error {
	if c.limiter.AllowN(time.Now(), n) {
		return nil
	}
	c.counts.refused.Add(1)
	return ErrRateLimited
}

// chargeCall takes one call from the rate limit and never rejects it; fewer calls remain
// for others instead. Lease renewals, revocations and retries must not fail because of the
// number of other calls.
func (c *Client) chargeCall() { c.limiter.ReserveN(time.Now(), 1) }

// endpoint returns the base URL for the given attempt.
func (c *Client) endpoint(attempt int) string {
	i := int(c.preferred.Load()) + attempt
	return c.opts.Endpoints[i%len(c.opts.Endpoints)]
}

// setPreferred makes the endpoint of the given attempt the first one to be tried.
func (c *Client) setPreferred(attempt int) {
	if attempt > 0 {
		i := int(c.preferred.Load()) + attempt
		c.preferred.Store(int64(i % len(c.opts.Endpoints)))
	}
}

// maxAttempts is the number of attempts of a call that may be repeated: one per
// endpoint, and two with a single endpoint, since its open connection may have become
// unresponsive while a new one works.
func (c *Client) maxAttempts() int { return max(2, len(c.opts.Endpoints)) }

// closeIdleConnections closes the idle connections after a timeout. A network device
// may have dropped the state of the other pooled connections too.
func (c *Client) closeIdleConnections() {
	if t, ok := c.opts.HTTP.Transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}
