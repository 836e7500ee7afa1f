package gateway

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// handleStoreCall makes a store call for another gateway.
func (g *Gateway) handleStoreCall(ctx context.Context, m *link.StoreCall) *link.StoreReply {
	kv, r := g.cfg.Store, &link.StoreReply{}
	err := error(store.ErrUnavailable)
	switch m.Op {
	case link.StoreGet:
		r.KeyValue, r.Found, err = kv.Get(ctx, m.Key)
	case link.StoreList:
		r.Snapshot, err = kv.List(ctx, m.Key)
	case link.StoreRenew:
		r.TTL, err = kv.Renew(ctx, m.Lease)
	case link.StoreRevoke:
		err = kv.Revoke(ctx, m.Lease)
	case link.StoreCommit:
		r.Commit, err = kv.CommitIf(ctx, m.Conditions, m.Swaps)
	}
	r.Failure = failureOfError(err)
	return r
}

func failureOfError(err error) link.StoreFailure {
	switch {
	case err == nil:
		return link.StoreOK
	case eris.Is(err, store.ErrOutcomeUnknown):
		return link.StoreOutcomeUnknown
	case eris.Is(err, store.ErrLeaseNotFound):
		return link.StoreLeaseNotFound
	}
	return link.StoreUnavailable
}
