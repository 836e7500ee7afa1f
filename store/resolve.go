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
	// maxVersionReads bounds the earlier versions of a key that are read to see
	// who wrote after Expect.
	maxVersionReads = 8
)

// resolveLostCommit finds out what became of swaps whose reply was lost.
//
// The failure: the call took effect, its reply did not arrive, and a plain
// retry fails against its own write. It shows as a conflict with oneself.
//
// A swap that expects an existing revision is sent again: revisions don't come
// back unless the store is restored from a backup, so it takes effect once at most however many copies arrive, late ones
// included; merely finding the key unchanged would not exclude that the first
// copy is still on its way. A swap that creates a key is only read back: the
// key may have been created and deleted meanwhile, and sending it again would
// create it a second time. In both cases the key's bytes tell whose write is
// found, because every proposed value is unique.
func (c *Client) resolveLostCommit(ctx context.Context, swaps []Swap) []SwapResult {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = resolveBackoff
	resend := true
	for i := range resolveAttempts {
		if i > 0 && !sleep(ctx, retryDelay.NextBackOff()) {
			break
		}
		var res v3json.TxnResponse
		result := c.resendOrRead(ctx, swaps, resend, i, &res)
		if result.ok() && validTxn(swaps, &res) {
			c.setPreferred(i)
			return c.resolveSwaps(ctx, swaps, &res)
		}
		// The lease is gone, maybe after the first copy took effect under it.
		resend = resend && result.code != v3json.CodeNotFound
		if ctx.Err() != nil {
			break
		}
	}
	return unknownResults(swaps)
}

// resendOrRead sends one call that repeats or reads back each swap.
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

// resolveSwap decides the outcome of a swap from the key as it is now. Walking back
// through the versions of the key ends at our own bytes (it took effect), at
// the expected revision (the next write was another's, so it did not and never
// will), or nowhere (unknown).
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

// sleep waits for d and reports false where ctx ended first.
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
