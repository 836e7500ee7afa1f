package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	registryPrefix = "gateways/"
	// registrationTTL bounds how long a failed gateway remains listed. The registry is read at
	// startup and by processes that can reach no gateway they know.
	registrationTTL      = 12 * time.Second
	registrationInterval = registrationTTL / 3
)

// ListRegistered returns the addresses of the gateways registered in the store.
func ListRegistered(ctx context.Context, kv store.Store) ([]string, error) {
	snap, err := kv.List(ctx, registryPrefix)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, k := range snap.Keys {
		out = append(out, strings.TrimPrefix(k.Key, registryPrefix))
	}
	return out, nil
}

// registerLoop keeps this gateway registered, and reads the registry once at startup.
func (g *Gateway) registerLoop() error {
	var id store.LeaseID
	peersLoaded := false
	for {
		ctx := g.tomb.Context(context.Background())
		if !peersLoaded {
			peersLoaded = g.addRegisteredPeers(ctx)
		}
		id = g.register(ctx, id)
		wait := registrationInterval
		if id == 0 {
			wait = time.Second
		}
		select {
		case <-time.After(wait):
		case <-g.tomb.Dying():
			return nil
		}
	}
}

func (g *Gateway) addRegisteredPeers(ctx context.Context) bool {
	addresses, err := ListRegistered(ctx, g.cfg.Store)
	if err != nil {
		return false
	}
	for _, a := range addresses {
		g.members.addHint(a)
	}
	return true
}

// register renews the lease of this gateway's registry key, or creates both anew. It returns
// the lease, or zero if there is none.
func (g *Gateway) register(ctx context.Context, id store.LeaseID) store.LeaseID {
	if id != 0 {
		_, err := g.cfg.Store.Renew(ctx, id)
		if err == nil || !eris.Is(err, store.ErrLeaseNotFound) {
			return id
		}
	}
	id, err := g.cfg.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return 0
	}
	key := registryPrefix + g.cfg.Listen
	kv, _, err := g.cfg.Store.Get(ctx, key)
	if err != nil {
		return 0
	}
	results, err := g.cfg.Store.Commit(ctx, []store.Swap{{Key: key, Expect: kv.Mod, Value: []byte(g.cfg.ID), Lease: id}})
	if err != nil || !results[0].Swapped {
		return 0
	}
	return id
}
