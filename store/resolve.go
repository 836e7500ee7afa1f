package store

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

const (
	resolveAttempts = 4
	resolveBackoff  = 10 * time.Millisecond
	// maxVersionReads limits the number of earlier versions of a key that are read to
	// find the write that followed Expect.
	maxVersionReads = 8
)

// resolveLostCommit determines the results of swaps whose reply was lost. The client
// recognizes its own write by the value, because every proposed value is unique.
//
// A swap that expects an existing revision is sent again, since the first copy may still
// be in transit: revisions do not recur unless the store is restored from a backup, so it
// takes effect at most once. A swap that creates a key is only read back: if the key was
// created and deleted meanwhile, a second copy would create it again.
func (c *Client) resolveLostCommit(ctx context.Context, swaps []Swap) []SwapResult {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = resolveBackoff
	resend := true
	for attempt := range resolveAttempts {
		if attempt > 0 && !sleep(ctx, retryDelay.NextBackOff()) {
			break
		}
		var res v3json.TxnResponse
		result := c.resendOrRead(ctx, swaps, resend, attempt, &res)
		if result.ok() && validTxn(swaps, &res) {
			c.setPreferred(attempt)
			return c.resolveSwaps(ctx, swaps, &res)
		}
		// The lease does not exist; the first copy may have taken effect before it
		// ended.
		resend = resend && result.code != v3json.CodeNotFound
		if ctx.Err() != nil {
			break
		}
	}
	return unknownResults(swaps)
}

// resendOrRead sends one call that repeats each swap that expects an existing revision,
// if resend is set, and reads the keys of the others.
func (c *Client) resendOrRead(ctx context.Context, swaps []Swap, resend bool, attempt int, res *v3json.TxnResponse) callResult {
	req := &v3json.TxnRequest{}
	for _, s := range swaps {
		op := readOp(s.Key)
		if resend && s.Expect != 0 {
			op = swapOp(s)
		}
		req.Success = append(req.Success, op)
	}
	c.chargeCall()
	c.counts.commit.Add(1)
	c.counts.readBack.Add(1)
	return c.post(ctx, c.endpoint(attempt), v3json.PathTxn, req, res)
}

func (c *Client) resolveSwaps(ctx context.Context, swaps []Swap, res *v3json.TxnResponse) []SwapResult {
	results := make([]SwapResult, len(swaps))
	for i, op := range res.Responses {
		s := swaps[i]
		switch {
		case op.Txn != nil && op.Txn.Succeeded:
			results[i] = swapResult(s, op.Txn, Revision(res.Header.Revision))
		case op.Txn != nil:
			results[i] = c.resolveSwap(ctx, s, keyFromFailure(s.Key, op.Txn))
		default:
			results[i] = c.resolveSwap(ctx, s, keyFromRange(s.Key, op.Range))
		}
	}
	return results
}

// resolveSwap determines the result of a swap from the current state of its key. It
// reads earlier versions of the key until it finds the swap's own value (the swap took
// effect) or the expected revision (the next write was another one, so the swap cannot
// take effect any more). Otherwise the result is unknown.
func (c *Client) resolveSwap(ctx context.Context, s Swap, current KeyValue) SwapResult {
	unknown := SwapResult{Unknown: true, Current: current}
	if current.Mod == 0 || current.Mod == s.Expect {
		return unknown
	}
	version := current
	for range maxVersionReads {
		if !s.Delete && bytes.Equal(version.Value, s.Value) {
			return SwapResult{Swapped: true, Current: current}
		}
		if version.Mod == version.Created {
			return unknown
		}
		c.chargeCall()
		c.counts.readBack.Add(1)
		previous, ok, err := c.get(ctx, s.Key, version.Mod-1)
		if err != nil || !ok {
			return unknown
		}
		if previous.Mod == s.Expect {
			return SwapResult{Current: current}
		}
		version = previous
	}
	return unknown
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
