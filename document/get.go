package document

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Stored is a version together with the store's revision of it.
type Stored struct {
	Version  Version
	Revision store.Revision
}

// Get reads the version of service that the store holds. The second result is
// false where there is none.
func Get(ctx context.Context, store store.Store, service string) (Version, bool, error) {
	s, err := read(ctx, store, service)
	return s.Version, s.Revision != 0, err
}

// read returns a zero Stored where the store holds no document of service.
func read(ctx context.Context, store store.Store, service string) (Stored, error) {
	kv, ok, err := store.Get(ctx, StoreKey(service))
	if err != nil || !ok {
		return Stored{}, err
	}
	return stored(kv)
}

func stored(kv store.KeyValue) (Stored, error) {
	v, err := UnmarshalVersion(kv.Value)
	if err != nil {
		return Stored{}, eris.Wrapf(err, "key %s", kv.Key)
	}
	if StoreKey(v.Service) != kv.Key {
		return Stored{}, eris.Wrapf(ErrBadVersion, "key %s holds service %q", kv.Key, v.Service)
	}
	return Stored{Version: v, Revision: kv.Mod}, nil
}
