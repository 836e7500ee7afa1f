package jobs

import (
	"context"
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Swapper commits one compare-and-swap, usually grouped with those of other
// callers into one request to the store (store.Batcher).
type Swapper interface {
	Swap(ctx context.Context, s store.Swap) (store.SwapResult, error)
}

// Store reads and writes the job records of one region. It is safe for
// concurrent use and caches nothing.
type Store struct {
	region string
	store  store.Store
	swaps  Swapper
}

// NewStore returns a Store for the jobs of region.
func NewStore(region string, store store.Store, swaps Swapper) *Store {
	return &Store{region: region, store: store, swaps: swaps}
}

// Prefix returns the key prefix of a service's records, for listing and
// watching.
func (s *Store) Prefix(service string) string {
	return "jobs/" + s.region + "/" + service + "/"
}

func (s *Store) key(service, id string) string {
	return s.Prefix(service) + id
}

// Accept stores a new job. A repeated call with the same ID and spec, from any
// process, returns the record of the first one. ErrOutcomeUnknown means that
// the job may have been accepted.
func (s *Store) Accept(ctx context.Context, r Record) (Stored, error) {
	r.State = Queued
	got, err := s.write(ctx, Stored{Record: r})
	if eris.Is(err, ErrConflict) && got.Rev != 0 {
		if !sameSpec(got.Spec, r.Spec) {
			return got, ErrIdempotencyKeyReused
		}
		return got, nil
	}
	return got, err
}

func sameSpec(a, b Spec) bool {
	a.Payload, b.Payload = normalizeJSON(a.Payload), normalizeJSON(b.Payload)
	return reflect.DeepEqual(a, b)
}

func normalizeJSON(raw json.RawMessage) json.RawMessage {
	var v any
	if json.Unmarshal(raw, &v) != nil {
		return raw
	}
	out, err := json.Marshal(v)
	if err != nil {
		return raw
	}
	return out
}

// Get reads one record.
func (s *Store) Get(ctx context.Context, service, id string) (Stored, error) {
	kv, ok, err := s.store.Get(ctx, s.key(service, id))
	if err != nil {
		return Stored{}, err
	}
	if !ok {
		return Stored{}, ErrNotFound
	}
	return decode(kv)
}

// Update writes a changed record over the revision it was read at. With
// ErrConflict it returns the current record.
func (s *Store) Update(ctx context.Context, r Stored) (Stored, error) {
	return s.write(ctx, r)
}

// End writes a final record under the retention lease, so that the store
// deletes it when the retention has passed.
func (s *Store) End(ctx context.Context, r Stored, retention store.LeaseID) (Stored, error) {
	if !r.State.Ended() {
		panic("jobs: End called with state that is not final: " + string(r.State))
	}
	return s.commit(ctx, r, retention)
}

// List reads all records of a service's jobs in one request and returns them
// by ID.
func (s *Store) List(ctx context.Context, service string) (map[string]Stored, error) {
	snap, err := s.store.List(ctx, s.Prefix(service))
	if err != nil {
		return nil, err
	}
	records := make(map[string]Stored, len(snap.Keys))
	for _, kv := range snap.Keys {
		r, err := decode(kv)
		if err != nil {
			return nil, err
		}
		records[r.ID] = r
	}
	return records, nil
}

// Cancel ends a job that is still queued, or requests its planner to stop it.
// It returns the resulting record; a job that has ended is not changed.
func (s *Store) Cancel(ctx context.Context, service, id string, now time.Time) (Stored, error) {
	cur, err := s.Get(ctx, service, id)
	if err != nil {
		return cur, err
	}
	return s.CancelRecord(ctx, cur, now)
}

// CancelRecord is Cancel for a record that was read already. If the record has
// changed since, it decides again on the current one.
func (s *Store) CancelRecord(ctx context.Context, cur Stored, now time.Time) (Stored, error) {
	for {
		if cur.State.Ended() || cur.CancelRequested {
			return cur, nil
		}
		got, err := s.write(ctx, withCancellation(cur, now))
		if !eris.Is(err, ErrConflict) {
			return got, err
		}
		cur = got
	}
}

func withCancellation(r Stored, now time.Time) Stored {
	if r.State == Queued {
		r.State = Cancelled
		r.Reason = "cancelled by the caller before it started"
		r.Ended = now
		return r
	}
	r.CancelRequested = true
	return r
}

func (s *Store) write(ctx context.Context, r Stored) (Stored, error) {
	return s.commit(ctx, r, 0)
}

func (s *Store) commit(ctx context.Context, r Stored, lease store.LeaseID) (Stored, error) {
	r.Token = uuid.NewString()
	value, err := json.Marshal(r.Record)
	if err != nil {
		return Stored{}, eris.Wrapf(err, "encode record of job %s", r.ID)
	}
	res, err := s.swaps.Swap(ctx, store.Swap{
		Key:    s.key(r.Service, r.ID),
		Expect: r.Rev,
		Value:  value,
		Lease:  lease,
	})
	switch {
	case err != nil:
		return Stored{}, err
	case res.Swapped:
		r.Rev = res.Current.Mod
		return r, nil
	case res.Unknown:
		return Stored{}, ErrOutcomeUnknown
	case res.Current.Mod == 0:
		return Stored{}, ErrNotFound
	}
	cur, err := decode(res.Current)
	if err != nil {
		return Stored{}, err
	}
	return cur, ErrConflict
}

// Decode returns the record in a key-value pair from a listing or a watch
// below Prefix.
func Decode(kv store.KeyValue) (Stored, error) {
	return decode(kv)
}

// IDFromKey returns the job ID in a key below any Prefix.
func IDFromKey(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}
