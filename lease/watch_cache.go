package lease

import (
	"context"
	"sync"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// watchCache holds the keys of a domain's elections as listed and watched by a Session.
// It is safe for concurrent use.
type watchCache struct {
	mu       sync.Mutex
	listed   bool
	revision store.Revision // all changes up to here are in keys
	keys     map[string]store.KeyValue
	changed  chan struct{} // closed and replaced on every change
}

func newWatchCache() *watchCache { return &watchCache{changed: make(chan struct{})} }

// reset replaces the content by a listing.
func (v *watchCache) reset(snap store.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed, v.revision = true, snap.At
	v.keys = make(map[string]store.KeyValue, len(snap.Keys))
	for _, kv := range snap.Keys {
		v.keys[kv.Key] = kv
	}
	v.notify()
}

// apply applies a batch of the watch.
func (v *watchCache) apply(b store.WatchBatch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range b.Events {
		if e.Deleted {
			delete(v.keys, e.Key)
			continue
		}
		v.keys[e.Key] = e.KeyValue
	}
	v.revision = b.At
	v.notify()
}

func (v *watchCache) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// get returns a key. ready reports whether the cache has reached minRevision; changed
// is closed at the next change.
func (v *watchCache) get(key string, minRevision store.Revision) (kv store.KeyValue, ok, ready bool, changed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	kv, ok = v.keys[key]
	return kv, ok, v.listed && v.revision >= minRevision, v.changed
}

// awaitKey returns a key once the cache has reached minRevision.
func (v *watchCache) awaitKey(ctx context.Context, key string, minRevision store.Revision) (store.KeyValue, bool, error) {
	for {
		kv, ok, ready, changed := v.get(key, minRevision)
		if ready {
			return kv, ok, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.KeyValue{}, false, ctx.Err()
		}
	}
}
