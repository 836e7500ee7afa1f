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

// fault is what happens to one swap.
type fault int

const (
	none           fault = iota
	lostAfter            // takes effect, the reply is lost
	lostBefore           // never arrives, the caller cannot tell
	lostAndDelayed       // the reply is lost; takes effect before one of the next calls
)

// fakeStore is the platform's store with faults, without leases.
type fakeStore struct {
	store.Store // nil: leases are not used here

	mu      sync.Mutex
	source  uint64 // changes with each restore
	rev     store.Revision
	keys    map[string]store.KeyValue
	events  []store.Event
	floor   store.Revision // events up to it are compacted
	changed chan struct{}  // closed at the next change
	down    bool
	next    func() fault // of each swap; nil for none
	calls   int
	// valuesRead counts the documents sent in answer to listings.
	valuesRead int
	delayed    []delayedSwap
	latency    time.Duration // of the fastest call, in virtual time
}

// delayedSwap takes effect when the store has taken so many calls.
type delayedSwap struct {
	store.Swap
	at int
}

// maxDelay is how many calls a delayed swap is late by at most.
const maxDelay = 4

func newFakeStore() *fakeStore {
	return &fakeStore{keys: map[string]store.KeyValue{}, changed: make(chan struct{})}
}

// backup is a copy of the store at one moment.
type backup struct {
	rev  store.Revision
	keys map[string]store.KeyValue
}

func (s *fakeStore) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{rev: s.rev, keys: maps.Clone(s.keys)}
}

func (s *fakeStore) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source++
	s.rev, s.keys, s.delayed = b.rev, maps.Clone(b.keys), nil
	s.events, s.floor = nil, b.rev
	s.signal()
}

// counts returns how many calls came, and how many documents listings sent.
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

func (s *fakeStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) swap(w store.Swap) bool {
	if s.keys[w.Key].Mod != w.Expect {
		return false
	}
	s.rev++
	kv := store.KeyValue{Key: w.Key, Value: w.Value, Mod: s.rev}
	s.keys[w.Key] = kv
	s.events = append(s.events, store.Event{KeyValue: kv})
	s.signal()
	return true
}

// travel takes virtual time, so that calls of several callers interleave.
func (s *fakeStore) travel() {
	s.mu.Lock()
	d := s.latency * time.Duration(1+s.calls%3)
	s.mu.Unlock()
	time.Sleep(d)
}

// enter lets delayed writes arrive, then reports an outage.
func (s *fakeStore) enter(ctx context.Context) error {
	s.calls++
	s.delayed = slices.DeleteFunc(s.delayed, func(d delayedSwap) bool {
		due := d.at <= s.calls
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
	s.travel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(ctx); err != nil {
		return store.KeyValue{}, false, err
	}
	kv, ok := s.keys[key]
	return kv, ok, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(ctx); err != nil {
		return store.Snapshot{}, err
	}
	snapshot := store.Snapshot{At: s.rev, Source: s.source}
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
	s.travel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	results := make([]store.SwapResult, len(swaps))
	for i, w := range swaps {
		f := none
		if s.next != nil {
			f = s.next()
		}
		results[i].Unknown = f != none
		switch f {
		case none:
			results[i].Swapped = s.swap(w)
			results[i].Current = s.keys[w.Key]
		case lostAfter:
			s.swap(w)
		case lostAndDelayed:
			s.delayed = append(s.delayed, delayedSwap{Swap: w, at: s.calls + 1 + s.calls%maxDelay})
		}
	}
	return results, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, from store.Revision, deliver func(store.WatchBatch)) error {
	for {
		s.mu.Lock()
		changed, compacted := s.changed, from <= s.floor
		var batch store.WatchBatch
		for _, e := range s.events {
			if e.Mod >= from && strings.HasPrefix(e.Key, prefix) {
				batch.Events = append(batch.Events, e)
			}
		}
		batch.At = s.rev
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
