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
// callers into one call to the store (store.Batcher).
type Swapper interface {
	Swap(ctx context.Context, s store.Swap) (store.SwapResult, error)
}

// Store reads and writes the job records of one region. It is safe for
// concurrent use and keeps nothing in memory.
type Store struct {
	region string
	store  store.Store
	swaps  Swapper
}

// NewStore returns a Store for the jobs of region.
func NewStore(region string, store store.Store, swaps Swapper) *Store {
	return &Store{region: region, store: store, swaps: swaps}
}

// Prefix is the key prefix of a service's records, for listing and watching.
func (s *Store) Prefix(service string) string {
	return "jobs/" + s.region + "/" + service + "/"
}

func (s *Store) key(service, id string) string {
	return s.Prefix(service) + id
}

// Accept makes a job durable. A repeated call with the same id and spec, by
// whichever process, returns the record of the first. ErrOutcomeUnknown means
// that the job may have been accepted.
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

// Update writes a changed record over the one it was read as. On ErrConflict
// the returned record is the one now in the store.
func (s *Store) Update(ctx context.Context, r Stored) (Stored, error) {
	return s.write(ctx, r)
}

// End writes the final state under a lease, so that the store itself forgets
// the record when its retention has passed.
func (s *Store) End(ctx context.Context, r Stored, retention store.LeaseID) (Stored, error) {
	if !r.State.Ended() {
		panic("jobs: End with state " + string(r.State))
	}
	return s.commit(ctx, r, retention)
}

// List reads the records of a service's jobs, by id, in one call.
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

// Cancel ends a job that is still queued, or asks its planner to stop it. It
// returns the record as it then is; a job that has ended stays as it is.
func (s *Store) Cancel(ctx context.Context, service, id string, now time.Time) (Stored, error) {
	cur, err := s.Get(ctx, service, id)
	if err != nil {
		return cur, err
	}
	return s.CancelRecord(ctx, cur, now)
}

// CancelRecord is Cancel for a record that was read already. Where the record has
// changed since, it decides again on what it is now.
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
		return Stored{}, eris.Wrapf(err, "job %s", r.ID)
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

// Decode turns a key of a listing or a watch below Prefix into its record.
func Decode(kv store.KeyValue) (Stored, error) {
	return decode(kv)
}

// IDFromKey returns the job id that a key below any Prefix names.
func IDFromKey(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}
