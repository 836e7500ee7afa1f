package document

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ActiveSet holds the version in force of every service in one process. Reads
// take no lock: writers copy the table, change the copy and publish it
// (read-copy-update). It is safe for concurrent use.
//
// The generation of a service never decreases while the process runs. It
// guards against configuration that goes back: a watch restarted from an old
// revision, a peer with an old copy, a store restored from a backup. Each of
// them shows as an offer with a lower generation, and Offer is the only way in.
type ActiveSet struct {
	versions atomic.Pointer[map[string]*ActiveVersion]
	onChange func(old, now *ActiveVersion)

	mu          sync.Mutex         // serialises writers
	lastRefused map[string]Summary // last version refused, by service

	accepted, older, conflicting, refused atomic.Int64
}

// NewActiveSet returns a table without documents. onChange may be nil; it is
// called after each change, in order, with old nil for a first version. It
// must not call Offer.
func NewActiveSet(onChange func(old, now *ActiveVersion)) *ActiveSet {
	f := &ActiveSet{onChange: onChange, lastRefused: map[string]Summary{}}
	f.versions.Store(&map[string]*ActiveVersion{})
	return f
}

// Current returns what is in force for service.
func (f *ActiveSet) Current(service string) (*ActiveVersion, bool) {
	h, ok := (*f.versions.Load())[service]
	return h, ok
}

// All returns what is in force, sorted by service.
func (f *ActiveSet) All() []*ActiveVersion {
	return slices.SortedFunc(maps.Values(*f.versions.Load()), func(a, b *ActiveVersion) int {
		return strings.Compare(a.Version.Service, b.Version.Service)
	})
}

// Counts returns the decisions so far.
func (f *ActiveSet) Counts() UpdateCounts {
	return UpdateCounts{
		Accepted:    f.accepted.Load(),
		Older:       f.older.Load(),
		Conflicting: f.conflicting.Load(),
		Refused:     f.refused.Load(),
	}
}

// Update puts v in force where its generation is higher than the one in force,
// whatever the source. A version that this binary cannot read is refused, and
// the one in force stays: an older binary must not drop its configuration
// because the operators use a newer one. Of two split histories the later
// version is in force afterwards, with a generation above both.
func (f *ActiveSet) Update(now time.Time, v Version) UpdateResult {
	if d := f.compare(v); d == UpdateUnchanged || d == UpdateOlder {
		return f.countResult(d)
	}
	// Parsing is slow, so it is done without the lock.
	doc := parseVersion(v)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.countResult(f.apply(now, v, doc))
}

// parseVersion returns nil where v cannot be read or contradicts itself.
func parseVersion(v Version) *Document {
	doc, err := Parse(v.Service, v.TOML)
	if err != nil || doc.Service != v.Service || DigestOf(v.TOML) != v.Digest {
		return nil
	}
	return doc
}

func (f *ActiveSet) compare(v Version) UpdateResult {
	h, ok := f.Current(v.Service)
	switch {
	case v.Generation == 0:
		return UpdateOlder
	case !ok:
		return UpdateAccepted
	}
	return compareVersions(h.Version, v)
}

func (f *ActiveSet) apply(now time.Time, v Version, doc *Document) UpdateResult {
	d := f.compare(v)
	if d == UpdateUnchanged || d == UpdateOlder {
		return d
	}
	if doc == nil {
		f.lastRefused[v.Service] = v.Summary()
		return UpdateRefused
	}
	if d == UpdateConflicting {
		held, _ := f.Current(v.Service)
		if isLater(held.Version, v) {
			doc = held.Document
		}
		v = resolveFork(held.Version, v)
	}
	f.publish(&ActiveVersion{Version: v, Document: doc, Since: now})
	return d
}

func (f *ActiveSet) publish(h *ActiveVersion) {
	old := *f.versions.Load()
	next := maps.Clone(old)
	next[h.Version.Service] = h
	f.versions.Store(&next)
	delete(f.lastRefused, h.Version.Service)
	if f.onChange != nil {
		f.onChange(old[h.Version.Service], h)
	}
}

func (f *ActiveSet) countResult(d UpdateResult) UpdateResult {
	switch d {
	case UpdateAccepted:
		f.accepted.Add(1)
	case UpdateOlder:
		f.older.Add(1)
	case UpdateConflicting:
		f.conflicting.Add(1)
	case UpdateRefused:
		f.refused.Add(1)
	}
	return d
}
