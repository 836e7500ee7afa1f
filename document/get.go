package document

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// StoredVersion is a version together with the store's revision of it.
type StoredVersion struct {
	Version  Version
	Revision store.Revision
}

// Get reads the version of service that the store holds. The second result is
// false where there is none.
func Get(ctx context.Context, store store.Store, service string) (Version, bool, error) {
	stored, err := readStored(ctx, store, service)
	return stored.Version, stored.Revision != 0, err
}

// readStored returns a zero Stored where the store holds no document of service.
func readStored(ctx context.Context, store store.Store, service string) (StoredVersion, error) {
	kv, ok, err := store.Get(ctx, StoreKey(service))
	if err != nil || !ok {
		return StoredVersion{}, err
	}
	return decodeStored(kv)
}

func decodeStored(kv store.KeyValue) (StoredVersion, error) {
	v, err := UnmarshalVersion(kv.Value)
	if err != nil {
		return StoredVersion{}, eris.Wrapf(err, "key %s", kv.Key)
	}
	if StoreKey(v.Service) != kv.Key {
		return StoredVersion{}, eris.Wrapf(ErrInvalidVersion, "key %s holds service %q", kv.Key, v.Service)
	}
	return StoredVersion{Version: v, Revision: kv.Mod}, nil
}
