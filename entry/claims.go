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

// keyLife is for how long an idempotency key is remembered.
const keyLife = 24 * time.Hour

// claims keeps which attempt owns an idempotency key, in the platform's store.
// It is safe for concurrent use.
type claims struct {
	prefix string // region
	store  store.Store
	swaps  jobs.Swapper
	lease  *sharedLease
}

// key returns the handle of the key of a call. One goroutine at a time uses it.
func (c *claims) key(of *call) *claimKey {
	return &claimKey{
		claims: c,
		key:    "claims/" + c.prefix + "/" + of.service + "/" + of.account + "/" + of.key,
	}
}

// claimKey is one idempotency key with the revision at which its claim was last
// seen.
type claimKey struct {
	claims *claims
	key    string
	rev    store.Revision
}

func (k *claimKey) write(ctx context.Context, c attempts.Claim) attempts.ClaimReply {
	return k.swap(ctx, store.Swap{Key: k.key, Value: encodeClaim(c)})
}

func (k *claimKey) replace(ctx context.Context, old, next attempts.Claim) attempts.ClaimReply {
	if r, ok := k.seen(ctx, old); !ok {
		return r
	}
	return k.swap(ctx, store.Swap{Key: k.key, Expect: k.rev, Value: encodeClaim(next)})
}

func (k *claimKey) release(ctx context.Context, c attempts.Claim) attempts.ClaimReply {
	if r, ok := k.seen(ctx, c); !ok {
		return r
	}
	return k.swap(ctx, store.Swap{Key: k.key, Expect: k.rev, Delete: true})
}

// seen makes sure that rev is the revision at which the store held want. False:
// the store holds something else, and the result says what.
func (k *claimKey) seen(ctx context.Context, want attempts.Claim) (attempts.ClaimReply, bool) {
	kv, ok, err := k.claims.store.Get(ctx, k.key)
	switch {
	case err != nil:
		return attempts.ClaimReply{Result: attempts.ClaimUnavailable}, false
	case !ok:
		return attempts.ClaimReply{Result: attempts.ClaimGone}, false
	case !bytes.Equal(kv.Value, encodeClaim(want)):
		return conflict(kv), false
	}
	k.rev = kv.Mod
	return attempts.ClaimReply{}, true
}

func (k *claimKey) swap(ctx context.Context, s store.Swap) attempts.ClaimReply {
	if !s.Delete {
		lease, err := k.claims.lease.Current(ctx)
		if err != nil {
			return attempts.ClaimReply{Result: attempts.ClaimUnavailable}
		}
		s.Lease = lease
	}
	res, err := k.claims.swaps.Swap(ctx, s)
	switch {
	case eris.Is(err, store.ErrLeaseNotFound):
		k.claims.lease.Invalidate(s.Lease)
		return attempts.ClaimReply{Result: attempts.ClaimUnavailable}
	case err != nil || res.Unknown:
		return attempts.ClaimReply{Result: attempts.ClaimUnavailable}
	case res.Swapped:
		k.rev = res.Current.Mod
		return attempts.ClaimReply{Result: attempts.ClaimWritten}
	case res.Current.Mod == 0:
		return attempts.ClaimReply{Result: attempts.ClaimGone}
	}
	return conflict(res.Current)
}

func conflict(kv store.KeyValue) attempts.ClaimReply {
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
