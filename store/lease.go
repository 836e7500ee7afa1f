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
// The Client chooses the lease ID, so that a lost reply does not leave a lease with an
// unknown ID; when the call is repeated, "lease already exists" counts as success.
// After ErrUnavailable a lease without keys may exist until it expires.
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

// Renew implements Store. It counts against the rate limit but is never rejected by it.
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

// Revoke implements Store. It counts against the rate limit but is never rejected by
// it. If the call is repeated after a lost reply, a missing lease counts as revoked.
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

// postRepeatable makes a call that may be repeated. It reports in repeated whether the
// reply to an earlier attempt was lost.
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
