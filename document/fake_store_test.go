package document_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// swapFault is a failure of a single swap.
type swapFault int

const (
	noFault             swapFault = iota
	replyLost                     // applied, but the reply is lost
	requestLost                   // not applied; the caller cannot tell
	replyLostAndDelayed           // the reply is lost; applied before one of the next calls
)

// fakeStore is an in-memory store that injects faults. It has no leases.
type fakeStore struct {
	store.Store // nil; methods for leases are not used

	mu                sync.Mutex
	source            uint64 // incremented by each restore
	revision          store.Revision
	keys              map[string]store.KeyValue
	events            []store.Event
	compactedRevision store.Revision // events up to this revision are compacted
	changed           chan struct{}  // closed on the next change
	down              bool
	nextFault         func() swapFault // called for each swap; nil for no faults
	calls             int
	// valuesRead is the number of documents returned by listings.
	valuesRead int
	delayed    []delayedSwap
	latency    time.Duration // minimum duration of a call, in virtual time
}

// delayedSwap is applied once the store has received dueCall calls.
type delayedSwap struct {
	store.Swap
	dueCall int
}

// maxDelayedCalls is the maximum delay of a swap, in calls.
const maxDelayedCalls = 4

func newFakeStore() *fakeStore {
	return &fakeStore{keys: map[string]store.KeyValue{}, changed: make(chan struct{})}
}

// storeBackup is a copy of the store.
type storeBackup struct {
	revision store.Revision
	keys     map[string]store.KeyValue
}

func (s *fakeStore) backup() storeBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeBackup{revision: s.revision, keys: maps.Clone(s.keys)}
}

func (s *fakeStore) restore(b storeBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source++
	s.revision, s.keys, s.delayed = b.revision, maps.Clone(b.keys), nil
	s.events, s.compactedRevision = nil, b.revision
	s.notifyWatches()
}

// counts returns the number of calls, and of documents returned by listings.
func (s *fakeStore) counts() (calls, valuesRead int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.valuesRead
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) swap(w store.Swap) bool {
	if s.keys[w.Key].Mod != w.Expect {
		return false
	}
	s.revision++
	kv := store.KeyValue{Key: w.Key, Value: w.Value, Mod: s.revision}
	s.keys[w.Key] = kv
	s.events = append(s.events, store.Event{KeyValue: kv})
	s.notifyWatches()
	return true
}

// simulateLatency sleeps in virtual time, so that concurrent calls interleave.
func (s *fakeStore) simulateLatency() {
	s.mu.Lock()
	d := s.latency * time.Duration(1+s.calls%3)
	s.mu.Unlock()
	time.Sleep(d)
}

// beginCall applies delayed swaps that are due, and returns an error during an outage.
func (s *fakeStore) beginCall(ctx context.Context) error {
	s.calls++
	s.delayed = slices.DeleteFunc(s.delayed, func(d delayedSwap) bool {
		due := d.dueCall <= s.calls
		if due {
			s.swap(d.Swap)
		}
		return due
	})
	if s.down || ctx.Err() != nil {
		return store.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (store.KeyValue, bool, error) {
	s.simulateLatency()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx); err != nil {
		return store.KeyValue{}, false, err
	}
	kv, ok := s.keys[key]
	return kv, ok, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx); err != nil {
		return store.Snapshot{}, err
	}
	snapshot := store.Snapshot{At: s.revision, Source: s.source}
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			snapshot.Keys = append(snapshot.Keys, kv)
			s.valuesRead++
		}
	}
	return snapshot, nil
}

func (s *fakeStore) ListKeys(ctx context.Context, prefix string) (store.Snapshot, error) {
	snapshot, err := s.List(ctx, prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range snapshot.Keys {
		snapshot.Keys[i].Value = nil
		s.valuesRead--
	}
	return snapshot, err
}

func (s *fakeStore) Commit(ctx context.Context, swaps []store.Swap) ([]store.SwapResult, error) {
	s.simulateLatency()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx); err != nil {
		return nil, err
	}
	results := make([]store.SwapResult, len(swaps))
	for i, w := range swaps {
		f := noFault
		if s.nextFault != nil {
			f = s.nextFault()
		}
		results[i].Unknown = f != noFault
		switch f {
		case noFault:
			results[i].Swapped = s.swap(w)
			results[i].Current = s.keys[w.Key]
		case replyLost:
			s.swap(w)
		case replyLostAndDelayed:
			s.delayed = append(s.delayed, delayedSwap{Swap: w, dueCall: s.calls + 1 + s.calls%maxDelayedCalls})
		}
	}
	return results, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, from store.Revision, deliver func(store.WatchBatch)) error {
	for {
		s.mu.Lock()
		changed, compacted := s.changed, from <= s.compactedRevision
		var batch store.WatchBatch
		for _, e := range s.events {
			if e.Mod >= from && strings.HasPrefix(e.Key, prefix) {
				batch.Events = append(batch.Events, e)
			}
		}
		batch.At = s.revision
		s.mu.Unlock()
		if compacted {
			return store.ErrCompacted
		}
		if len(batch.Events) > 0 {
			from = batch.At + 1
			deliver(batch)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
