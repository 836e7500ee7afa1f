package entry

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// idempotencyKeyTTL is how long an idempotency key is remembered, at least.
const idempotencyKeyTTL = 24 * time.Hour

// claimStore keeps in the platform's store which attempt owns an idempotency key. It is
// safe for concurrent use.
type claimStore struct {
	region  string
	store   store.Store
	swapper jobs.Swapper
	lease   *sharedLease
}

// handleFor returns the handle for a request's idempotency key. The handle is not safe
// for concurrent use.
func (c *claimStore) handleFor(q *quickRequest) *claimHandle {
	return &claimHandle{
		claims: c,
		key:    "claims/" + c.region + "/" + q.service + "/" + q.account + "/" + q.key,
	}
}

// claimHandle is an idempotency key with the revision at which its claim was last read or
// written.
type claimHandle struct {
	claims   *claimStore
	key      string
	revision store.Revision
}

func (k *claimHandle) write(ctx context.Context, c attempts.Claim) attempts.ClaimReply {
	return k.swap(ctx, store.Swap{Key: k.key, Value: encodeClaim(c)})
}

func (k *claimHandle) replace(ctx context.Context, old, next attempts.Claim) attempts.ClaimReply {
	if r, ok := k.verify(ctx, old); !ok {
		return r
	}
	return k.swap(ctx, store.Swap{Key: k.key, Expect: k.revision, Value: encodeClaim(next)})
}

func (k *claimHandle) release(ctx context.Context, c attempts.Claim) attempts.ClaimReply {
	if r, ok := k.verify(ctx, c); !ok {
		return r
	}
	return k.swap(ctx, store.Swap{Key: k.key, Expect: k.revision, Delete: true})
}

// verify reads the key and, if the store holds want, records the revision and returns
// true. Otherwise it returns false and the result to report.
func (k *claimHandle) verify(ctx context.Context, want attempts.Claim) (attempts.ClaimReply, bool) {
	kv, ok, err := k.claims.store.Get(ctx, k.key)
	switch {
	case err != nil:
		return attempts.ClaimReply{Result: attempts.ClaimUnavailable}, false
	case !ok:
		return attempts.ClaimReply{Result: attempts.ClaimGone}, false
	case !bytes.Equal(kv.Value, encodeClaim(want)):
		return conflictResult(kv), false
	}
	k.revision = kv.Mod
	return attempts.ClaimReply{}, true
}

// swap writes or deletes the claim if its revision is the expected one.
func (k *claimHandle) swap(ctx context.Context, s store.Swap) attempts.ClaimReply {
	if !s.Delete {
		lease, err := k.claims.lease.Current(ctx)
		if err != nil {
			return attempts.ClaimReply{Result: attempts.ClaimUnavailable}
		}
		s.Lease = lease
	}
	res, err := k.claims.swapper.Swap(ctx, s)
	switch {
	case eris.Is(err, store.ErrLeaseNotFound):
		k.claims.lease.Invalidate(s.Lease)
		return attempts.ClaimReply{Result: attempts.ClaimUnavailable}
	case err != nil || res.Unknown:
		return attempts.ClaimReply{Result: attempts.ClaimUnavailable}
	case res.Swapped:
		k.revision = res.Current.Mod
		return attempts.ClaimReply{Result: attempts.ClaimWritten}
	case res.Current.Mod == 0:
		return attempts.ClaimReply{Result: attempts.ClaimGone}
	}
	return conflictResult(res.Current)
}

// conflictResult returns the result for a key that holds another claim.
func conflictResult(kv store.KeyValue) attempts.ClaimReply {
	var c attempts.Claim
	if err := cbor.Unmarshal(kv.Value, &c); err != nil {
		return attempts.ClaimReply{Result: attempts.ClaimUnavailable}
	}
	return attempts.ClaimReply{Result: attempts.ClaimConflict, Claim: c}
}

func encodeClaim(c attempts.Claim) []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic("entry: claim can't be encoded: " + err.Error())
	}
	return data
}
