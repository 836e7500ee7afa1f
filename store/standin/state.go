package standin

import (
	"slices"

	"github.com/google/btree"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

const btreeDegree = 16

// state is the content of the store. It is not safe for concurrent use.
type state struct {
	clusterID       uint64
	revision        int64
	compactRevision int64
	keys            *btree.BTreeG[entry]
	log             []v3json.Event // changes from compactRevision on, in order
	leases          map[int64]*lease
}

func newState() *state {
	return &state{
		clusterID: 1,
		revision:  1,
		keys:      btree.NewG(btreeDegree, entryLess),
		leases:    make(map[int64]*lease),
	}
}

func (s *state) header() v3json.Header {
	return v3json.Header{ClusterID: s.clusterID, Revision: s.revision}
}

func (s *state) get(key string) (v3json.KeyValue, bool) {
	e, ok := s.keys.Get(entry{key: key})
	if !ok {
		return v3json.KeyValue{}, false
	}
	return e.valueAt(s.revision)
}

// inRange reports whether key is in the range [from, end) of a request.
func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	if key < string(from) {
		return false
	}
	return string(end) == "\x00" || key < string(end)
}

// list returns the keys in [from, end) at revision rev.
func (s *state) list(from, end []byte, rev int64) []v3json.KeyValue {
	var kvs []v3json.KeyValue
	s.keys.AscendGreaterOrEqual(entry{key: string(from)}, func(e entry) bool {
		if !inRange(e.key, from, end) {
			return false
		}
		if kv, ok := e.valueAt(rev); ok {
			kvs = append(kvs, kv)
		}
		return true
	})
	return kvs
}

// put writes a key at revision rev, which the caller then makes the current one.
func (s *state) put(rev int64, key string, value []byte, leaseID int64) {
	old, ok := s.get(key)
	kv := v3json.KeyValue{Key: []byte(key), Value: value, Lease: leaseID}
	kv.CreateRevision, kv.ModRevision, kv.Version = rev, rev, 1
	if ok {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		s.detachFromLease(old)
	}
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.appendVersion(key, version{kv: kv})
}

func (s *state) deleteKey(rev int64, key string) bool {
	old, ok := s.get(key)
	if !ok {
		return false
	}
	s.detachFromLease(old)
	kv := v3json.KeyValue{Key: []byte(key), ModRevision: rev}
	s.appendVersion(key, version{kv: kv, deleted: true})
	return true
}

func (s *state) appendVersion(key string, v version) {
	e, ok := s.keys.Get(entry{key: key})
	if !ok {
		e = entry{key: key}
	}
	s.keys.ReplaceOrInsert(e.withVersion(v))
	ev := v3json.Event{Kv: v.kv}
	if v.deleted {
		ev.Type = v3json.EventDelete
	}
	s.log = append(s.log, ev)
}

func (s *state) detachFromLease(kv v3json.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// eventsSince returns the changes to keys in [from, end) after revision rev.
func (s *state) eventsSince(rev int64, from, end []byte) []v3json.Event {
	i, _ := slices.BinarySearchFunc(s.log, rev+1, func(e v3json.Event, r int64) int {
		return int(e.Kv.ModRevision - r)
	})
	var events []v3json.Event
	for _, e := range s.log[i:] {
		if inRange(string(e.Kv.Key), from, end) {
			events = append(events, e)
		}
	}
	return events
}

// compact drops all history before revision rev.
func (s *state) compact(rev int64) {
	s.compactRevision = rev
	i, _ := slices.BinarySearchFunc(s.log, rev, func(e v3json.Event, r int64) int {
		return int(e.Kv.ModRevision - r)
	})
	s.log = slices.Clone(s.log[i:])
	keys := btree.NewG(btreeDegree, entryLess)
	s.keys.Ascend(func(e entry) bool {
		if e = e.compact(rev); len(e.versions) > 0 {
			keys.ReplaceOrInsert(e)
		}
		return true
	})
	s.keys = keys
}

// trimHistory compacts the older half of the history if it has more than maxEvents
// changes.
func (s *state) trimHistory(maxEvents int) {
	if len(s.log) > maxEvents {
		s.compact(s.log[len(s.log)/2].Kv.ModRevision)
	}
}

// clone returns a copy that is independent of later changes to s.
func (s *state) clone() *state {
	c := *s
	c.keys = s.keys.Clone()
	c.log = slices.Clone(s.log)
	c.leases = make(map[int64]*lease, len(s.leases))
	for id, l := range s.leases {
		c.leases[id] = l.clone()
	}
	return &c
}
