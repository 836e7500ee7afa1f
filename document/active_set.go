package document

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ActiveSet holds the active version of every service in one process. Reads take no lock;
// writers copy the table and replace it (read-copy-update). It is safe for concurrent use.
//
// The generation of a service never decreases while the process runs, even if a watch
// restarts from an old revision, a peer has an old copy, or the store is restored from a
// backup. Update is the only way to change the set.
type ActiveSet struct {
	versions atomic.Pointer[map[string]*ActiveVersion]
	onChange func(old, now *ActiveVersion)

	mu          sync.Mutex         // serializes writers
	lastRefused map[string]Summary // by service

	accepted, older, conflicting, refused atomic.Int64
}

// NewActiveSet returns an empty set. onChange, which may be nil, is called after each
// change, in order, with old nil for the first version of a service. It must not call
// Update.
func NewActiveSet(onChange func(old, now *ActiveVersion)) *ActiveSet {
	a := &ActiveSet{onChange: onChange, lastRefused: map[string]Summary{}}
	a.versions.Store(&map[string]*ActiveVersion{})
	return a
}

// Current returns the active version of service, and whether there is one.
func (a *ActiveSet) Current(service string) (*ActiveVersion, bool) {
	active, ok := (*a.versions.Load())[service]
	return active, ok
}

// All returns the active versions, sorted by service.
func (a *ActiveSet) All() []*ActiveVersion {
	return slices.SortedFunc(maps.Values(*a.versions.Load()), func(a, b *ActiveVersion) int {
		return strings.Compare(a.Version.Service, b.Version.Service)
	})
}

// Counts returns the number of updates so far, by result.
func (a *ActiveSet) Counts() UpdateCounts {
	return UpdateCounts{
		Accepted:    a.accepted.Load(),
		Older:       a.older.Load(),
		Conflicting: a.conflicting.Load(),
		Refused:     a.refused.Load(),
	}
}

// Update makes v active if its generation is higher than the active one. A version that
// this binary cannot parse is refused, so that an older binary keeps its configuration
// when the operators use a newer one. If v belongs to a forked history, the later of the
// two versions becomes active under a generation above both.
func (a *ActiveSet) Update(now time.Time, v Version) UpdateResult {
	if result := a.compare(v); result == UpdateUnchanged || result == UpdateOlder {
		return a.countResult(result)
	}
	// Parse before taking the lock, since parsing is slow.
	doc := parseVersion(v)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.countResult(a.apply(now, v, doc))
}

// parseVersion returns nil if v is invalid, belongs to another service or does not match
// its digest.
func parseVersion(v Version) *Document {
	doc, err := Parse(v.Service, v.TOML)
	if err != nil || doc.Service != v.Service || DigestOf(v.TOML) != v.Digest {
		return nil
	}
	return doc
}

// compare classifies v against the active version of its service.
func (a *ActiveSet) compare(v Version) UpdateResult {
	active, ok := a.Current(v.Service)
	switch {
	case v.Generation == 0:
		return UpdateOlder
	case !ok:
		return UpdateAccepted
	}
	return compareVersions(active.Version, v)
}

// apply repeats the comparison under the lock and publishes v. doc is nil if v is invalid.
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

// publish replaces the table by a copy with the new version. The caller holds mu.
func (a *ActiveSet) publish(active *ActiveVersion) {
	old := *a.versions.Load()
	versions := maps.Clone(old)
	versions[active.Version.Service] = active
	a.versions.Store(&versions)
	delete(a.lastRefused, active.Version.Service)
	if a.onChange != nil {
		a.onChange(old[active.Version.Service], active)
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
