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
		leaseID, lost, err := r.session.Lease(ctx)
		if err == nil {
			r.holdRegistration(ctx, leaseID, lost)
		}
	}
}

// holdRegistration is the life of one lease.
func (r *registry) holdRegistration(ctx context.Context, leaseID store.LeaseID, lost <-chan struct{}) {
	revision := store.Revision(0)
	for {
		next, err := r.write(ctx, leaseID, revision)
		if err == nil {
			revision = next
			sleep(ctx, minRegisterInterval)
		} else {
			sleep(ctx, registryRetryInterval)
			r.requestWrite()
		}
		select {
		case <-ctx.Done():
			return
		case <-lost:
			return
		case <-r.writeRequested:
		}
	}
}

// errLaterIncarnation: another process with this entry's id began later.
var errLaterIncarnation = eris.New("registered by a later life of the entry")

// write registers the entry. An older registration under the same id is of an
// earlier life and is replaced; one of a later life stays. The lease of an earlier
// life is revoked: its process has ended, or is ending with its duties handed over,
// and candidates wait for what is still bound to it.
func (r *registry) write(ctx context.Context, leaseID store.LeaseID, revision store.Revision) (store.Revision, error) {
	r.mu.Lock()
	r.own.Token = uuid.NewString()
	value, err := json.Marshal(r.own)
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	for {
		res, err := r.store.Commit(ctx, []store.Swap{{Key: r.keyPrefix + r.own.ID, Expect: revision, Value: value, Lease: leaseID}})
		switch {
		case err != nil:
			return 0, err
		case res[0].Swapped:
			return res[0].Current.Mod, nil
		case res[0].Unknown:
			return 0, store.ErrUnavailable
		}
		revision = res[0].Current.Mod
		if res[0].Current.Lease == leaseID || res[0].Current.Lease == 0 {
			continue
		}
		if err := r.revokeEarlier(ctx, res[0].Current); err != nil {
			return 0, err
		}
		revision = 0 // gone with its lease
	}
}

// revokeEarlier ends the lease of a registration that is not of this life.
func (r *registry) revokeEarlier(ctx context.Context, kv store.KeyValue) error {
	var old entryRecord
	if json.Unmarshal(kv.Value, &old) == nil && old.Incarnation > r.own.Incarnation {
		return errLaterIncarnation
	}
	err := r.store.Revoke(ctx, kv.Lease)
	if eris.Is(err, store.ErrLeaseNotFound) {
		return nil
	}
	return err
}
