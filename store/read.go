package store

import (
	"context"
	"sync/atomic"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, bool, error) {
	if err := c.allowCalls(1); err != nil {
		return KeyValue{}, false, err
	}
	return c.get(ctx, key, 0)
}

// get reads one key at a revision; zero means the latest.
func (c *Client) get(ctx context.Context, key string, revision Revision) (KeyValue, bool, error) {
	req := &v3json.RangeRequest{Key: []byte(key), Revision: int64(revision)}
	var res v3json.RangeResponse
	if err := c.readRange(ctx, &c.counts.get, req, &res); err != nil {
		return KeyValue{}, false, err
	}
	if len(res.Kvs) == 0 {
		return KeyValue{}, false, nil
	}
	return keyValueFromJSON(res.Kvs[0]), true, nil
}

// readRange tries the endpoints in turn. The caller takes the first attempt from the
// rate limit; further attempts are charged here.
func (c *Client) readRange(ctx context.Context, count *atomic.Int64, req *v3json.RangeRequest, res *v3json.RangeResponse) error {
	var last callResult
	for i := range c.maxAttempts() {
		if i > 0 {
			c.chargeCall()
		}
		count.Add(1)
		*res = v3json.RangeResponse{}
		last = c.post(ctx, c.endpoint(i), v3json.PathRange, req, res)
		if last.ok() && !validRange(req, res) {
			last = callResult{status: statusLost, cause: errInvalidResponse}
		}
		if last.ok() {
			c.setPreferred(i)
			return nil
		}
		if last.status == statusRejected || ctx.Err() != nil {
			break
		}
	}
	return last.err()
}

func keyValueFromJSON(kv v3json.KeyValue) KeyValue {
	return KeyValue{
		Key:     string(kv.Key),
		Value:   kv.Value,
		Created: Revision(kv.CreateRevision),
		Mod:     Revision(kv.ModRevision),
		Lease:   LeaseID(kv.Lease),
	}
}
