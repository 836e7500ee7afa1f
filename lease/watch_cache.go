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
func (w *watchCache) reset(snap store.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed, w.revision = true, snap.At
	w.keys = make(map[string]store.KeyValue, len(snap.Keys))
	for _, kv := range snap.Keys {
		w.keys[kv.Key] = kv
	}
	w.notify()
}

// apply applies a batch of the watch.
func (w *watchCache) apply(b store.WatchBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range b.Events {
		if e.Deleted {
			delete(w.keys, e.Key)
			continue
		}
		w.keys[e.Key] = e.KeyValue
	}
	w.revision = b.At
	w.notify()
}

func (w *watchCache) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// get returns a key. ready reports whether the cache has reached minRevision; changed
// is closed at the next change.
func (w *watchCache) get(key string, minRevision store.Revision) (kv store.KeyValue, ok, ready bool, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kv, ok = w.keys[key]
	return kv, ok, w.listed && w.revision >= minRevision, w.changed
}

// awaitKey returns a key once the cache has reached minRevision.
func (w *watchCache) awaitKey(ctx context.Context, key string, minRevision store.Revision) (store.KeyValue, bool, error) {
	for {
		kv, ok, ready, changed := w.get(key, minRevision)
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
