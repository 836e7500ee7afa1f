package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// directCallTimeout bounds this gateway's own attempt of a call while a peer could make it: a store
// that is cut off does not answer at all, and the planner's lease of two seconds must be
// renewed. A store that is slow for all, at a hundred times its usual 4 ms, is waited for.
const directCallTimeout = 500 * time.Millisecond

// storeRelay is the store as the planner uses it. Calls that the store does not take from
// this gateway are made by a peer that it serves.
//
// The failure it guards against: the store turns the planner's machine away and serves
// all others. Its lease would lapse, and for up to two seconds nothing could start,
// although every worker and every record is in reach. What a peer writes for it holds
// under the same conditions as its own writes do, so a planner that was replaced meanwhile
// writes nothing this way either.
type storeRelay struct {
	store.Atomic
	g *Gateway
}

// Get implements store.Store.
func (s *storeRelay) Get(ctx context.Context, key string) (kv store.KeyValue, found bool, err error) {
	reply, err := s.call(ctx, &link.StoreCall{Op: link.StoreGet, Key: key}, func(ctx context.Context) (err error) {
		kv, found, err = s.Atomic.Get(ctx, key)
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
		ttl, err = s.Atomic.Renew(ctx, id)
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
		return s.Atomic.Revoke(ctx, id)
	})
	return err
}

// CommitIf implements store.Atomic. An own attempt whose outcome is unknown is not
// followed by a peer's: the caller repeats the call, which settles it.
func (s *storeRelay) CommitIf(ctx context.Context, conditions []store.Condition, swaps []store.Swap) (out store.CommitOutcome, err error) {
	msg := &link.StoreCall{Op: link.StoreCommit, Conditions: conditions, Swaps: swaps}
	reply, err := s.call(ctx, msg, func(ctx context.Context) (err error) {
		out, err = s.Atomic.CommitIf(ctx, conditions, swaps)
		return err
	})
	if reply != nil {
		return reply.Commit, err
	}
	return out, err
}

// listRelay also lists through peers. Candidates for a duty list without: one that the
// store does not serve could not claim it.
type listRelay struct{ *storeRelay }

// List implements store.Store.
func (s listRelay) List(ctx context.Context, prefix string) (snap store.Snapshot, err error) {
	reply, err := s.call(ctx, &link.StoreCall{Op: link.StoreList, Key: prefix}, func(ctx context.Context) (err error) {
		snap, err = s.Atomic.List(ctx, prefix)
		return err
	})
	if reply != nil {
		return reply.Snapshot, err
	}
	return snap, err
}

// call makes a call by own, unless the store has just failed this gateway, and then through
// a peer, whose reply it returns. The reply is nil where own has settled the call.
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

// callDirect makes the own call, briefly where a peer could make it instead. Commits have
// their own patience, and one that is cut short has an unknown outcome. Listings are as long
// as what is on record; they end by themselves once nothing arrives any more.
func (s *storeRelay) callDirect(ctx context.Context, op link.StoreOp, direct func(context.Context) error) error {
	bounded := op != link.StoreCommit && op != link.StoreList
	if bounded && len(s.g.relayCandidates()) > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, directCallTimeout)
		defer cancel()
	}
	return direct(ctx)
}

// callThroughPeers lets peers that the store serves make a call, one after the other,
// until one has. It returns nil where certainly none has.
func (g *Gateway) callThroughPeers(ctx context.Context, msg *link.StoreCall) *link.StoreReply {
	for _, address := range g.relayCandidates() {
		if ctx.Err() != nil {
			return nil
		}
		reply := g.storeCallThrough(ctx, address, msg)
		if reply != nil && reply.Failure != link.StoreUnavailable {
			return reply
		}
	}
	return nil
}

func (g *Gateway) storeCallThrough(ctx context.Context, address string, msg *link.StoreCall) *link.StoreReply {
	raw, err := g.callPeer(ctx, address, msg)
	reply, ok := raw.(*link.StoreReply)
	switch {
	case err == nil && ok:
		return reply
	case msg.Op == link.StoreCommit && (err == nil || outcomeOfCallError(err) != link.OutcomeNotDone):
		return &link.StoreReply{Failure: link.StoreOutcomeUnknown}
	}
	return nil // what only reads or renews may be repeated through another peer
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
