package store

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// Grant implements Store. The ttl is rounded up to whole seconds.
//
// A lost reply would leave a lease that nobody knows the name of; so the
// Client chooses the name and, on repeating the call, takes "exists already"
// as the answer it missed. ErrUnavailable may leave a lease behind that has no
// keys and lapses by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := c.allowCalls(1); err != nil {
		return 0, err
	}
	id := rand.Int64N(1<<62) + 1
	seconds := int64((ttl + time.Second - 1) / time.Second)
	req := &v3json.GrantRequest{ID: id, TTL: max(1, seconds)}
	var res v3json.LeaseResponse
	result, repeated := c.postRepeatable(ctx, &c.counts.grant, v3json.PathGrant, req, &res)
	if result.ok() && !validLease(id, res) {
		return 0, eris.Wrap(ErrUnavailable, errInvalidResponse.Error())
	}
	if result.ok() || repeated && result.code == v3json.CodeFailedPrecondition {
		return LeaseID(id), nil
	}
	return 0, result.err()
}

// Renew implements Store. It is charged to the budget but never refused.
func (c *Client) Renew(ctx context.Context, id LeaseID) (time.Duration, error) {
	c.chargeCall()
	var res v3json.KeepAliveResponse
	req := &v3json.LeaseRequest{ID: int64(id)}
	result, _ := c.postRepeatable(ctx, &c.counts.renew, v3json.PathKeepAlive, req, &res)
	if !result.ok() {
		return 0, result.err()
	}
	if !validLease(int64(id), res.Result) {
		return 0, eris.Wrap(ErrUnavailable, errInvalidResponse.Error())
	}
	if res.Result.TTL <= 0 {
		return 0, ErrLeaseNotFound
	}
	return time.Duration(res.Result.TTL) * time.Second, nil
}

// Revoke implements Store. It is charged to the budget but never refused. A
// lease that is gone when a call with a lost reply is repeated counts as
// revoked.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	c.chargeCall()
	var res v3json.LeaseResponse
	req := &v3json.LeaseRequest{ID: int64(id)}
	result, repeated := c.postRepeatable(ctx, &c.counts.revoke, v3json.PathRevoke, req, &res)
	if result.ok() || repeated && result.code == v3json.CodeNotFound {
		return nil
	}
	return result.err()
}

// postRepeatable makes a call that may be repeated, and reports whether an attempt
// before the last one had been sent without a reply.
func (c *Client) postRepeatable(ctx context.Context, count *atomic.Int64, path string, req, res any) (last callResult, repeated bool) {
	for i := range c.maxAttempts() {
		if i > 0 {
			c.chargeCall()
		}
		count.Add(1)
		last = c.post(ctx, c.endpoint(i), path, req, res)
		if last.ok() {
			c.setPreferred(i)
			return last, repeated
		}
		if last.status == statusRejected || ctx.Err() != nil {
			return last, repeated
		}
		if last.status == statusLost {
			c.counts.lost.Add(1)
			repeated = true
		}
	}
	return last, repeated
}
