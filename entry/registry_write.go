package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrasshub/eelgrasshub/platform"
)

// register keeps this entry's registration alive until ctx ends, then removes
// it.
func (r *registry) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.term(ctx); err != nil {
			pause(ctx, registryPause)
		}
	}
}

// term is the life of one lease.
func (r *registry) term(ctx context.Context) error {
	lease, err := r.store.Grant(ctx, registryTTL)
	if err != nil {
		return err
	}
	defer r.revoke(lease)
	rev := platform.Revision(0)
	for {
		rev, err = r.write(ctx, lease, rev)
		if err != nil {
			return err
		}
		if err := r.keep(ctx, lease); err != nil {
			return err
		}
	}
}

// keep renews the lease until the registration has to be written again.
func (r *registry) keep(ctx context.Context, lease platform.LeaseID) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.dirty:
			return nil
		case <-time.After(registryTTL / 3):
			if _, err := r.store.Renew(ctx, lease); err != nil {
				return err
			}
		}
	}
}

// write registers the entry. An older registration under the same id is of an
// earlier life and is replaced.
func (r *registry) write(ctx context.Context, lease platform.LeaseID, rev platform.Revision) (platform.Revision, error) {
	r.mu.Lock()
	r.own.Token = uuid.NewString()
	value, err := json.Marshal(r.own)
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	for {
		res, err := r.store.Commit(ctx, []platform.Swap{{Key: r.prefix + r.own.ID, Expect: rev, Value: value, Lease: lease}})
		switch {
		case err != nil:
			return 0, err
		case res[0].Swapped:
			return res[0].Current.Mod, nil
		case res[0].Unknown:
			return 0, platform.ErrUnavailable
		}
		rev = res[0].Current.Mod
	}
}

func (r *registry) revoke(lease platform.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), registryPause)
	defer cancel()
	_ = r.store.Revoke(ctx, lease) // it lapses by itself otherwise
}
