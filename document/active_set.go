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
	a := &ActiveSet{onChange: onChange, lastRefused: map[string]Summary{}}
	a.versions.Store(&map[string]*ActiveVersion{})
	return a
}

// Current returns what is in force for service.
func (a *ActiveSet) Current(service string) (*ActiveVersion, bool) {
	h, ok := (*a.versions.Load())[service]
	return h, ok
}

// All returns what is in force, sorted by service.
func (a *ActiveSet) All() []*ActiveVersion {
	return slices.SortedFunc(maps.Values(*a.versions.Load()), func(a, b *ActiveVersion) int {
		return strings.Compare(a.Version.Service, b.Version.Service)
	})
}

// Counts returns the decisions so far.
func (a *ActiveSet) Counts() UpdateCounts {
	return UpdateCounts{
		Accepted:    a.accepted.Load(),
		Older:       a.older.Load(),
		Conflicting: a.conflicting.Load(),
		Refused:     a.refused.Load(),
	}
}

// Update puts v in force where its generation is higher than the one in force,
// whatever the source. A version that this binary cannot read is refused, and
// the one in force stays: an older binary must not drop its configuration
// because the operators use a newer one. Of two split histories the later
// version is in force afterwards, with a generation above both.
func (a *ActiveSet) Update(now time.Time, v Version) UpdateResult {
	if result := a.compare(v); result == UpdateUnchanged || result == UpdateOlder {
		return a.countResult(result)
	}
	// Parsing is slow, so it is done without the lock.
	doc := parseVersion(v)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.countResult(a.apply(now, v, doc))
}

// parseVersion returns nil where v cannot be read or contradicts itself.
func parseVersion(v Version) *Document {
	doc, err := Parse(v.Service, v.TOML)
	if err != nil || doc.Service != v.Service || DigestOf(v.TOML) != v.Digest {
		return nil
	}
	return doc
}

func (a *ActiveSet) compare(v Version) UpdateResult {
	h, ok := a.Current(v.Service)
	switch {
	case v.Generation == 0:
		return UpdateOlder
	case !ok:
		return UpdateAccepted
	}
	return compareVersions(h.Version, v)
}

func (a *ActiveSet) apply(now time.Time, v Version, doc *Document) UpdateResult {
	result := a.compare(v)
	if result == UpdateUnchanged || result == UpdateOlder {
		return result
	}
	if doc == nil {
		a.lastRefused[v.Service] = v.Summary()
		return UpdateRefused
	}
	if result == UpdateConflicting {
		active, _ := a.Current(v.Service)
		if isLater(active.Version, v) {
			doc = active.Document
		}
		v = resolveFork(active.Version, v)
	}
	a.publish(&ActiveVersion{Version: v, Document: doc, Since: now})
	return result
}

func (a *ActiveSet) publish(h *ActiveVersion) {
	old := *a.versions.Load()
	next := maps.Clone(old)
	next[h.Version.Service] = h
	a.versions.Store(&next)
	delete(a.lastRefused, h.Version.Service)
	if a.onChange != nil {
		a.onChange(old[h.Version.Service], h)
	}
}

func (a *ActiveSet) countResult(result UpdateResult) UpdateResult {
	switch result {
	case UpdateAccepted:
		a.accepted.Add(1)
	case UpdateOlder:
		a.older.Add(1)
	case UpdateConflicting:
		a.conflicting.Add(1)
	case UpdateRefused:
		a.refused.Add(1)
	}
	return result
}
