package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// minRegisterInterval is the minimum time between two writes of the registration. It
	// batches the changes when an entry gains many leaderships at once.
	minRegisterInterval = 100 * time.Millisecond
	// registryRetryInterval is the pause before a failed write or watch is retried.
	registryRetryInterval = time.Second
	// absentPeerTTL is how long an entry whose registration is gone is still kept. During
	// an outage of the store all registrations expire at once, while the entries keep
	// running.
	absentPeerTTL = 30 * time.Second
)

// entryRecord is the registration of an entry in the platform's store.
type entryRecord struct {
	Token       string       `json:"token"`
	ID          string       `json:"id"`
	Address     string       `json:"address"` // of its QUIC endpoint
	HTTP        string       `json:"http"`    // of its callers' HTTP interface
	Zone        string       `json:"zone"`
	Incarnation uint64       `json:"incarnation"`
	Leaderships []leadership `json:"duties,omitempty"`
	// Services are those that the entry takes part in; empty means all.
	Services []string `json:"services,omitempty"`
	// Leaving is set while the entry stops; it is then no candidate for leaderships.
	Leaving bool `json:"leaving,omitempty"`

	// lease is the store lease of the registration and of all the entry's leaderships.
	lease store.LeaseID
}

// leadership is a planner leadership that an entry holds.
type leadership struct {
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
}

// registry registers this entry in the platform's store and tracks the other entries of
// the region. It is safe for concurrent use.
type registry struct {
	store     store.Store
	session   *lease.Session
	keyPrefix string
	log       *logrus.Entry
	// onChange is called with the other entries after each change.
	onChange func(others []entryRecord)

	mu             sync.Mutex
	own            entryRecord
	peers          map[string]entryRecord
	absentSince    map[string]time.Time
	presentSince   map[string]time.Time // when the incarnation of a registered peer was first seen
	writeRequested chan struct{}
}

func newRegistry(kv store.Store, session *lease.Session, region string, own entryRecord, log *logrus.Entry) *registry {
	return &registry{
		store:          kv,
		session:        session,
		keyPrefix:      "entries/" + region + "/",
		log:            log,
		own:            own,
		peers:          make(map[string]entryRecord),
		absentSince:    make(map[string]time.Time),
		presentSince:   make(map[string]time.Time),
		writeRequested: make(chan struct{}, 1),
	}
}

// setLeaderships registers the leaderships that this entry holds.
func (r *registry) setLeaderships(leaderships []leadership) {
	r.mu.Lock()
	r.own.Leaderships = leaderships
	r.mu.Unlock()
	r.requestWrite()
}

// setLeaving registers that this entry is stopping.
func (r *registry) setLeaving() {
	r.mu.Lock()
	r.own.Leaving = true
	r.mu.Unlock()
	r.requestWrite()
}

// requestWrite causes the registration to be written again.
func (r *registry) requestWrite() {
	select {
	case r.writeRequested <- struct{}{}:
	default:
	}
}

// others returns the other entries, ordered by id, including those recently unregistered.
func (r *registry) others() []entryRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.peers), func(a, b entryRecord) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// leader returns the other entry with the highest epoch for the service, and that epoch.
func (r *registry) leader(service string) (entryRecord, uint64, bool) {
	var best entryRecord
	var epoch uint64
	for _, p := range r.others() {
		for _, l := range p.Leaderships {
			if l.Service == service && l.Epoch > epoch {
				best, epoch = p, l.Epoch
			}
		}
	}
	return best, epoch, epoch > 0
}

// candidates returns the other entries that are registered now and not stopping.
func (r *registry) candidates() []candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []candidate
	for id, p := range r.peers {
		if p.Leaving || !r.absentSince[id].IsZero() {
			continue
		}
		out = append(out, candidate{id: id, presentSince: r.presentSince[id], leaderships: len(p.Leaderships), services: p.Services})
	}
	return out
}

// registeredPeers returns the other entries that are registered now.
func (r *registry) registeredPeers() []entryRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []entryRecord
	for id, p := range r.peers {
		if r.absentSince[id].IsZero() {
			out = append(out, p)
		}
	}
	return out
}

// watch keeps the list of the other entries up to date until ctx ends.
func (r *registry) watch(ctx context.Context) {
	for ctx.Err() == nil {
		snap, err := r.store.List(ctx, r.keyPrefix)
		if err == nil {
			r.handleList(snap)
			_ = r.store.Watch(ctx, r.keyPrefix, snap.At+1, r.handleWatchBatch)
		}
		sleep(ctx, registryRetryInterval)
	}
}

func (r *registry) handleList(snap store.Snapshot) {
	r.update(func() {
		for id := range r.peers {
			r.markAbsent(id)
		}
		for _, kv := range snap.Keys {
			r.putPeer(kv)
		}
	})
}

func (r *registry) handleWatchBatch(b store.WatchBatch) {
	r.update(func() {
		for _, ev := range b.Events {
			if ev.Deleted {
				r.markAbsent(ev.Key[len(r.keyPrefix):])
				continue
			}
			r.putPeer(ev.KeyValue)
		}
	})
}

func (r *registry) update(f func()) {
	r.mu.Lock()
	f()
	for id := range r.absentSince {
		delete(r.presentSince, id)
	}
	r.dropAbsent(time.Now())
	r.mu.Unlock()
	r.onChange(r.others())
}

func (r *registry) putPeer(kv store.KeyValue) {
	var p entryRecord
	if json.Unmarshal(kv.Value, &p) != nil || p.ID == r.own.ID {
		return
	}
	p.lease = kv.Lease
	if r.presentSince[p.ID].IsZero() || r.peers[p.ID].Incarnation != p.Incarnation {
		r.presentSince[p.ID] = time.Now()
	}
	r.peers[p.ID] = p
	delete(r.absentSince, p.ID)
}

func (r *registry) markAbsent(id string) {
	if _, ok := r.peers[id]; ok && r.absentSince[id].IsZero() {
		r.absentSince[id] = time.Now()
	}
}

func (r *registry) dropAbsent(now time.Time) {
	for id, since := range r.absentSince {
		if now.Sub(since) > absentPeerTTL {
			delete(r.absentSince, id)
			delete(r.peers, id)
		}
	}
}
