package document

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// InForce holds the version in force of every service in one process. Reads
// take no lock: writers copy the table, change the copy and publish it
// (read-copy-update). It is safe for concurrent use.
//
// The generation of a service never decreases while the process runs. It
// guards against configuration that goes back: a watch restarted from an old
// revision, a peer with an old copy, a store restored from a backup. Each of
// them shows as an offer with a lower generation, and Offer is the only way in.
type InForce struct {
	table    atomic.Pointer[map[string]*Held]
	onChange func(old, now *Held)

	mu      sync.Mutex         // serialises writers
	refused map[string]Summary // last version refused, by service

	accepted, older, conflicting, refusals atomic.Int64
}

// NewInForce returns a table without documents. onChange may be nil; it is
// called after each change, in order, with old nil for a first version. It
// must not call Offer.
func NewInForce(onChange func(old, now *Held)) *InForce {
	f := &InForce{onChange: onChange, refused: map[string]Summary{}}
	f.table.Store(&map[string]*Held{})
	return f
}

// Current returns what is in force for service.
func (f *InForce) Current(service string) (*Held, bool) {
	h, ok := (*f.table.Load())[service]
	return h, ok
}

// All returns what is in force, sorted by service.
func (f *InForce) All() []*Held {
	return slices.SortedFunc(maps.Values(*f.table.Load()), func(a, b *Held) int {
		return strings.Compare(a.Version.Service, b.Version.Service)
	})
}

// Counts returns the decisions so far.
func (f *InForce) Counts() Counts {
	return Counts{
		Accepted:    f.accepted.Load(),
		Older:       f.older.Load(),
		Conflicting: f.conflicting.Load(),
		Refused:     f.refusals.Load(),
	}
}

// Offer puts v in force where its generation is higher than the one in force,
// whatever the source. A version that this binary cannot read is refused, and
// the one in force stays: an older binary must not drop its configuration
// because the operators use a newer one.
func (f *InForce) Offer(now time.Time, v Version) Decision {
	if d := f.compare(v); d != Accepted {
		return f.count(d)
	}
	// Parsing is slow, so it is done without the lock.
	doc, err := Parse(v.Service, v.TOML)
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.compare(v)
	if d == Accepted && (err != nil || doc.Service != v.Service || DigestOf(v.TOML) != v.Digest) {
		f.refused[v.Service] = v.Summary()
		d = Refused
	}
	if d == Accepted {
		f.publish(&Held{Version: v, Document: doc, Since: now})
	}
	return f.count(d)
}

// compare decides by generation and digest alone.
func (f *InForce) compare(v Version) Decision {
	h, ok := f.Current(v.Service)
	switch {
	case v.Generation == 0:
		return Older
	case !ok || v.Generation > h.Version.Generation:
		return Accepted
	case v.Generation < h.Version.Generation:
		return Older
	case v.Digest != h.Version.Digest:
		return Conflicting
	}
	return Known
}

func (f *InForce) publish(h *Held) {
	old := *f.table.Load()
	next := maps.Clone(old)
	next[h.Version.Service] = h
	f.table.Store(&next)
	delete(f.refused, h.Version.Service)
	if f.onChange != nil {
		f.onChange(old[h.Version.Service], h)
	}
}

func (f *InForce) count(d Decision) Decision {
	switch d {
	case Accepted:
		f.accepted.Add(1)
	case Older:
		f.older.Add(1)
	case Conflicting:
		f.conflicting.Add(1)
	case Refused:
		f.refusals.Add(1)
	}
	return d
}
