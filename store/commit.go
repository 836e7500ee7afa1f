package store

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// Commit implements Store. Swaps that fit into one call (127 swaps, 1 MiB, no key
// twice) form one transaction and see the same state; more are sent as several calls in
// sequence. If a call after the first fails without effect, its swaps and all later ones
// are reported as Unknown, because an error would also apply to the earlier calls.
//
// After a lost reply, the result stays Unknown for a deletion whose key is gone, and
// for a creation whose key does not exist or holds another value: it cannot be
// determined who deleted the key, or whether it existed in between. Current is then the
// key as read. Current.Created is not set after an update.
//
// A swap whose lease does not exist fails its whole call with ErrLeaseNotFound.
func (c *Client) Commit(ctx context.Context, swaps []Swap) ([]SwapResult, error) {
	chunks, err := splitIntoCalls(swaps)
	if err != nil {
		return nil, err
	}
	if err := c.allowCalls(len(chunks)); err != nil {
		return nil, err
	}
	results := make([]SwapResult, 0, len(swaps))
	for i, call := range chunks {
		chunkResults, err := c.commitChunk(ctx, swaps[call.from:call.to])
		if err != nil && i == 0 {
			return nil, err
		}
		if err != nil {
			return append(results, unknownResults(swaps[call.from:])...), nil
		}
		results = append(results, chunkResults...)
	}
	return results, nil
}

// commitChunk sends swaps as one call. It tries the next endpoint only if nothing was
// sent to the previous one.
func (c *Client) commitChunk(ctx context.Context, swaps []Swap) ([]SwapResult, error) {
	req := &v3json.TxnRequest{}
	for _, s := range swaps {
		req.Success = append(req.Success, swapOp(s))
	}
	var last callResult
	for i := range c.opts.Endpoints {
		if i > 0 {
			c.chargeCall()
		}
		c.counts.commit.Add(1)
		c.counts.swaps.Add(int64(len(swaps)))
		var res v3json.TxnResponse
		last = c.post(ctx, c.endpoint(i), v3json.PathTxn, req, &res)
		if last.ok() && !validTxn(swaps, &res) {
			last = callResult{status: statusLost, cause: errInvalidResponse}
		}
		switch last.status {
		case statusReplied:
			c.setPreferred(i)
			return swapResults(swaps, &res), nil
		case statusLost:
			c.counts.lost.Add(1)
			return c.resolveLostCommit(ctx, swaps), nil
		case statusRejected:
			return nil, last.err()
		}
	}
	return nil, last.err()
}

// swapResults returns the results of a call that was answered.
func swapResults(swaps []Swap, res *v3json.TxnResponse) []SwapResult {
	results := make([]SwapResult, len(swaps))
	for i, op := range res.Responses {
		if op.Txn == nil {
			results[i] = SwapResult{Unknown: true}
			continue
		}
		results[i] = swapResult(swaps[i], op.Txn, Revision(res.Header.Revision))
	}
	return results
}

func swapResult(s Swap, res *v3json.TxnResponse, revision Revision) SwapResult {
	if res.Succeeded {
		return SwapResult{Swapped: true, Current: keyAfterSwap(s, revision)}
	}
	return SwapResult{Current: keyFromFailure(s.Key, res)}
}

func unknownResults(swaps []Swap) []SwapResult {
	results := make([]SwapResult, len(swaps))
	for i := range results {
		results[i].Unknown = true
	}
	return results
}
