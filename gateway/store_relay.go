package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// directCallTimeout bounds a direct store call if a peer could make it instead: a store that is
// cut off does not answer at all, and the planner lease must be renewed in time. It is long
// enough for a store that is slow for all gateways, at a hundred times its usual 4 ms.
const directCallTimeout = 500 * time.Millisecond

// storeRelay is the store as used by the planner. A peer makes the calls that the store does not
// take from this gateway, so that the planner keeps its lease if the store is unreachable from
// its instance alone. Writes through a peer carry the same conditions, so a deposed planner
// cannot write this way either.
type storeRelay struct {
	store.TransactionalStore
	g *Gateway
}

// Get implements store.Store.
func (s *storeRelay) Get(ctx context.Context, key string) (kv store.KeyValue, found bool, err error) {
	reply, err := s.call(ctx, &link.StoreCall{Op: link.StoreGet, Key: key}, func(ctx context.Context) (err error) {
		kv, found, err = s.TransactionalStore.Get(ctx, key)
		return err
	})
	if reply != nil {
		return reply.KeyValue, reply.Found, err
	}
	return kv, found, err
}

// Renew implements store.Store.
func (s *storeRelay) Renew(ctx context.Context, id store.LeaseID) (ttl time.Duration, err error) {
	reply, err := s.call(ctx, &link.StoreCall{Op: link.StoreRenew, Lease: id}, func(ctx context.Context) (err error) {
		ttl, err = s.TransactionalStore.Renew(ctx, id)
		return err
	})
	if reply != nil {
		return reply.TTL, err
	}
	return ttl, err
}

// Revoke implements store.Store.
func (s *storeRelay) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := s.call(ctx, &link.StoreCall{Op: link.StoreRevoke, Lease: id}, func(ctx context.Context) error {
		return s.TransactionalStore.Revoke(ctx, id)
	})
	return err
}

// CommitIf implements store.TransactionalStore. A direct attempt with an unknown outcome is not
// repeated through a peer; the caller retries until the outcome is known.
func (s *storeRelay) CommitIf(ctx context.Context, conditions []store.Condition, swaps []store.Swap) (out store.CommitOutcome, err error) {
	msg := &link.StoreCall{Op: link.StoreCommit, Conditions: conditions, Swaps: swaps}
	reply, err := s.call(ctx, msg, func(ctx context.Context) (err error) {
		out, err = s.TransactionalStore.CommitIf(ctx, conditions, swaps)
		return err
	})
	if reply != nil {
		return reply.Commit, err
	}
	return out, err
}

// listRelay also lists through peers. Candidates for the planner lease list directly, since a
// candidate that the store does not serve could not claim it.
type listRelay struct{ *storeRelay }

// List implements store.Store.
func (s listRelay) List(ctx context.Context, prefix string) (snap store.Snapshot, err error) {
	reply, err := s.call(ctx, &link.StoreCall{Op: link.StoreList, Key: prefix}, func(ctx context.Context) (err error) {
		snap, err = s.TransactionalStore.List(ctx, prefix)
		return err
	})
	if reply != nil {
		return reply.Snapshot, err
	}
	return snap, err
}

// call makes a store call directly, unless the store has just failed this gateway. If the direct
// call was not made, or certainly had no effect, it makes the call through a peer. The reply is
// nil if no peer made the call; the error is then that of the direct call.
func (s *storeRelay) call(ctx context.Context, msg *link.StoreCall, direct func(context.Context) error) (*link.StoreReply, error) {
	err := error(store.ErrUnavailable)
	if s.g.shouldTryStore() {
		err = s.callDirect(ctx, msg.Op, direct)
		if eris.Is(err, store.ErrUnavailable) || eris.Is(err, store.ErrOutcomeUnknown) && s.g.cfg.SinceStoreReply() > directCallTimeout {
			s.g.markStoreFailed()
		}
		if !eris.Is(err, store.ErrUnavailable) {
			return nil, err
		}
	}
	reply := s.g.callThroughPeers(ctx, msg)
	if reply == nil {
		return nil, err
	}
	return reply, errorOfFailure(reply.Failure)
}

// callDirect makes the direct call, with a timeout if a peer could make it instead. Commits
// have no such timeout, since cutting one short makes its outcome unknown; nor do listings,
// which may be long and end by themselves once nothing arrives any more.
func (s *storeRelay) callDirect(ctx context.Context, op link.StoreOp, direct func(context.Context) error) error {
	bounded := op != link.StoreCommit && op != link.StoreList
	if bounded && len(s.g.relayCandidates()) > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, directCallTimeout)
		defer cancel()
	}
	return direct(ctx)
}

// callThroughPeers asks peers that the store serves, one after the other, to make a call, until
// one returns a result. It returns nil if none does; a commit has then certainly not been made.
func (g *Gateway) callThroughPeers(ctx context.Context, msg *link.StoreCall) *link.StoreReply {
	for _, address := range g.relayCandidates() {
		if ctx.Err() != nil {
			return nil
		}
		reply := g.storeCallThroughPeer(ctx, address, msg)
		if reply != nil && reply.Failure != link.StoreUnavailable {
			return reply
		}
	}
	return nil
}

func (g *Gateway) storeCallThroughPeer(ctx context.Context, address string, msg *link.StoreCall) *link.StoreReply {
	raw, err := g.callPeer(ctx, address, msg)
	reply, ok := raw.(*link.StoreReply)
	switch {
	case err == nil && ok:
		return reply
	case msg.Op == link.StoreCommit && (err == nil || outcomeOfCallError(err) != link.OutcomeNotStored):
		return &link.StoreReply{Failure: link.StoreOutcomeUnknown}
	}
	return nil // reads and renewals may be retried through another peer
}

func errorOfFailure(f link.StoreFailure) error {
	switch f {
	case link.StoreOK:
		return nil
	case link.StoreOutcomeUnknown:
		return store.ErrOutcomeUnknown
	case link.StoreLeaseNotFound:
		return store.ErrLeaseNotFound
	}
	return store.ErrUnavailable
}
