package entry

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// register keeps this entry registered under the session's lease until ctx ends. The
// store removes the registration with the lease.
func (r *registry) register(ctx context.Context) {
	for ctx.Err() == nil {
		leaseID, lost, err := r.session.Lease(ctx)
		if err == nil {
			r.holdRegistration(ctx, leaseID, lost)
		}
	}
}

// holdRegistration writes the registration when requested until the lease is lost or ctx
// ends.
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

// errLaterIncarnation: another process with this entry's id started later.
var errLaterIncarnation = eris.New("registered by a later incarnation of the entry")

// write registers the entry. It replaces a registration of an earlier incarnation under
// the same id, and fails with errLaterIncarnation if there is one of a later incarnation.
// It revokes the lease of the earlier incarnation, whose process has ended or is ending:
// candidates would otherwise wait for the keys under that lease to expire.
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
		revision = 0 // the key was deleted with its lease
	}
}

// revokeEarlier revokes the lease of a registration, or fails with errLaterIncarnation if
// that is of a later incarnation.
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
