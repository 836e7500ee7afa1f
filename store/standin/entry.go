package standin

import (
	"slices"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// entry is one key with its versions, oldest first. Entries are immutable, so that
// snapshots can share them.
type entry struct {
	key      string
	versions []version
}

type version struct {
	kv      v3json.KeyValue
	deleted bool
}

func entryLess(a, b entry) bool { return a.key < b.key }

// valueAt returns the key at revision rev.
func (e entry) valueAt(rev int64) (v3json.KeyValue, bool) {
	for _, v := range slices.Backward(e.versions) {
		if v.kv.ModRevision > rev {
			continue
		}
		if v.deleted {
			break
		}
		return v.kv, true
	}
	return v3json.KeyValue{}, false
}

func (e entry) withVersion(v version) entry {
	e.versions = append(slices.Clip(e.versions), v)
	return e
}

// compact drops the versions that are not visible at rev or later.
func (e entry) compact(rev int64) entry {
	firstKept := 0
	for i, v := range e.versions {
		if v.kv.ModRevision <= rev {
			firstKept = i
		}
	}
	kept := e.versions[firstKept:]
	if len(kept) == 1 && kept[0].deleted && kept[0].kv.ModRevision <= rev {
		kept = nil
	}
	e.versions = slices.Clone(kept)
	return e
}
