package document

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// StoredVersion is a version and its revision in the store.
type StoredVersion struct {
	Version  Version
	Revision store.Revision
}

// Get returns the version of the service's document in the store, and whether there is
// one.
func Get(ctx context.Context, store store.Store, service string) (Version, bool, error) {
	stored, err := readStored(ctx, store, service)
	return stored.Version, stored.Revision != 0, err
}

// readStored returns a zero StoredVersion if the store has no document of the service.
func readStored(ctx context.Context, store store.Store, service string) (StoredVersion, error) {
	kv, ok, err := store.Get(ctx, StoreKey(service))
	if err != nil || !ok {
		return StoredVersion{}, err
	}
	return decodeStored(kv)
}

// decodeStored decodes a store value and checks that it belongs to its key.
func decodeStored(kv store.KeyValue) (StoredVersion, error) {
	v, err := UnmarshalVersion(kv.Value)
	if err != nil {
		return StoredVersion{}, eris.Wrapf(err, "key %s", kv.Key)
	}
	if StoreKey(v.Service) != kv.Key {
		return StoredVersion{}, eris.Wrapf(ErrInvalidVersion, "key %s contains the document of service %q", kv.Key, v.Service)
	}
	return StoredVersion{Version: v, Revision: kv.Mod}, nil
}
