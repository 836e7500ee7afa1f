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
	// registerEvery is the least time between two registrations: an entry that
	// gains many duties at once tells of them together.
	registerEvery = 100 * time.Millisecond
	// registryPause is the pause before a failed registration or watch is tried
	// again.
	registryPause = time.Second
	// absentFor is how long an entry whose registration has gone is still
	// believed in: after an outage of the store all registrations have lapsed at
	// once, while the entries live on.
	absentFor = 30 * time.Second
)

// peerEntry is an entry as it registers itself in the platform's store.
type peerEntry struct {
	Token       string     `json:"token"`
	ID          string     `json:"id"`
	Address     string     `json:"address"` // of its QUIC endpoint
	HTTP        string     `json:"http"`    // of its callers' interface
	Zone        string     `json:"zone"`
	Incarnation uint64     `json:"incarnation"`
	Duties      []heldDuty `json:"duties,omitempty"`
	// Services are those it takes part in; empty means all.
	Services []string `json:"services,omitempty"`
	// Leaving: it is stopping and takes no duties.
	Leaving bool `json:"leaving,omitempty"`

	// lease is the store lease of the registration and of all its duties.
	lease store.LeaseID
}

// heldDuty is a planner duty that the entry holds.
type heldDuty struct {
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
}

// registry lets the few entries of a region find each other through the
// platform's store. It is safe for concurrent use.
type registry struct {
	store   store.Store
	session *lease.Session
	prefix  string
	log     *logrus.Entry
	// changed is told of the other entries after each change.
	changed func(others []peerEntry)

	mu     sync.Mutex
	own    peerEntry
	peers  map[string]peerEntry
	absent map[string]time.Time
	since  map[string]time.Time // when a present peer's incarnation was first seen
	dirty  chan struct{}
}

func newRegistry(store store.Store, session *lease.Session, region string, own peerEntry, log *logrus.Entry) *registry {
	return &registry{
		store:   store,
		session: session,
		prefix:  "entries/" + region + "/",
		log:     log,
		own:     own,
		peers:   make(map[string]peerEntry),
		absent:  make(map[string]time.Time),
		since:   make(map[string]time.Time),
		dirty:   make(chan struct{}, 1),
	}
}

// setDuties registers which duties this entry holds.
func (r *registry) setDuties(duties []heldDuty) {
	r.mu.Lock()
	r.own.Duties = duties
	r.mu.Unlock()
	r.mark()
}

// setLeaving registers that this entry takes no duties any more.
func (r *registry) setLeaving() {
	r.mu.Lock()
	r.own.Leaving = true
	r.mu.Unlock()
	r.mark()
}

// mark has the registration written again.
func (r *registry) mark() {
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

// others returns the other entries, by id.
func (r *registry) others() []peerEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.peers), func(a, b peerEntry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// planner returns the other entry with the highest epoch of the service's duty.
func (r *registry) planner(service string) (peerEntry, uint64, bool) {
	var best peerEntry
	var epoch uint64
	for _, p := range r.others() {
		for _, d := range p.Duties {
			if d.Service == service && d.Epoch > epoch {
				best, epoch = p, d.Epoch
			}
		}
	}
	return best, epoch, epoch > 0
}

// candidates returns the other entries that are registered now and take duties.
func (r *registry) candidates() []candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []candidate
	for id, p := range r.peers {
		if p.Leaving || !r.absent[id].IsZero() {
			continue
		}
		out = append(out, candidate{id: id, since: r.since[id], duties: len(p.Duties), services: p.Services})
	}
	return out
}

// present returns the other entries that are registered now.
func (r *registry) present() []peerEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peerEntry
	for id, p := range r.peers {
		if r.absent[id].IsZero() {
			out = append(out, p)
		}
	}
	return out
}

// follow keeps the list of the other entries until ctx ends.
func (r *registry) follow(ctx context.Context) {
	for ctx.Err() == nil {
		snap, err := r.store.List(ctx, r.prefix)
		if err == nil {
			r.listed(snap)
			_ = r.store.Watch(ctx, r.prefix, snap.At+1, r.deliver)
		}
		pause(ctx, registryPause)
	}
}

func (r *registry) listed(snap store.Snapshot) {
	r.update(func() {
		for id := range r.peers {
			r.markAbsent(id)
		}
		for _, kv := range snap.Keys {
			r.take(kv)
		}
	})
}

func (r *registry) deliver(b store.WatchBatch) {
	r.update(func() {
		for _, ev := range b.Events {
			if ev.Deleted {
				r.markAbsent(ev.Key[len(r.prefix):])
				continue
			}
			r.take(ev.KeyValue)
		}
	})
}

func (r *registry) update(f func()) {
	r.mu.Lock()
	f()
	for id := range r.absent {
		delete(r.since, id)
	}
	r.dropAbsent(time.Now())
	r.mu.Unlock()
	r.changed(r.others())
}

func (r *registry) take(kv store.KeyValue) {
	var p peerEntry
	if json.Unmarshal(kv.Value, &p) != nil || p.ID == r.own.ID {
		return
	}
	p.lease = kv.Lease
	if r.since[p.ID].IsZero() || r.peers[p.ID].Incarnation != p.Incarnation {
		r.since[p.ID] = time.Now()
	}
	r.peers[p.ID] = p
	delete(r.absent, p.ID)
}

func (r *registry) markAbsent(id string) {
	if _, ok := r.peers[id]; ok && r.absent[id].IsZero() {
		r.absent[id] = time.Now()
	}
}

func (r *registry) dropAbsent(now time.Time) {
	for id, since := range r.absent {
		if now.Sub(since) > absentFor {
			delete(r.absent, id)
			delete(r.peers, id)
		}
	}
}
