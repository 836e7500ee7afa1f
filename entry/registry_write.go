package entry

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// register keeps this entry registered under the session's lease until ctx ends.
// The registration goes with the lease.
func (r *registry) register(ctx context.Context) {
	for ctx.Err() == nil {
		id, lost, err := r.session.Lease(ctx)
		if err == nil {
			r.term(ctx, id, lost)
		}
	}
}

// term is the life of one lease.
func (r *registry) term(ctx context.Context, id store.LeaseID, lost <-chan struct{}) {
	rev := store.Revision(0)
	for {
		next, err := r.write(ctx, id, rev)
		if err == nil {
			rev = next
			pause(ctx, registerEvery)
		} else {
			pause(ctx, registryPause)
			r.mark()
		}
		select {
		case <-ctx.Done():
			return
		case <-lost:
			return
		case <-r.dirty:
		}
	}
}

// errLaterLife: another process with this entry's id began later.
var errLaterLife = eris.New("registered by a later life of the entry")

// write registers the entry. An older registration under the same id is of an
// earlier life and is replaced; one of a later life stays. The lease of an earlier
// life is revoked: its process has ended, or is ending with its duties handed over,
// and candidates wait for what is still bound to it.
func (r *registry) write(ctx context.Context, id store.LeaseID, rev store.Revision) (store.Revision, error) {
	r.mu.Lock()
	r.own.Token = uuid.NewString()
	value, err := json.Marshal(r.own)
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	for {
		res, err := r.store.Commit(ctx, []store.Swap{{Key: r.prefix + r.own.ID, Expect: rev, Value: value, Lease: id}})
		switch {
		case err != nil:
			return 0, err
		case res[0].Swapped:
			return res[0].Current.Mod, nil
		case res[0].Unknown:
			return 0, store.ErrUnavailable
		}
		rev = res[0].Current.Mod
		if res[0].Current.Lease == id || res[0].Current.Lease == 0 {
			continue
		}
		if err := r.replace(ctx, res[0].Current); err != nil {
			return 0, err
		}
		rev = 0 // gone with its lease
	}
}

// replace ends the lease of a registration that is not of this life.
func (r *registry) replace(ctx context.Context, kv store.KeyValue) error {
	var old peerEntry
	if json.Unmarshal(kv.Value, &old) == nil && old.Incarnation > r.own.Incarnation {
		return errLaterLife
	}
	err := r.store.Revoke(ctx, kv.Lease)
	if eris.Is(err, store.ErrLeaseNotFound) {
		return nil
	}
	return err
}
