package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against revoking the lease of one incarnation again and again, such as behind a
// firewall that refuses in the entry's place.
func TestLeaseRevokedOncePerIncarnation(t *testing.T) {
	c := qt.New(t)
	p := newProber(&Entry{})
	p.revoked["b"] = 7
	p.setTargets(t.Context(), []entryRecord{{ID: "b", Incarnation: 7, lease: 1}})
	c.Check(p.probes, qt.HasLen, 0)
	p.setTargets(t.Context(), []entryRecord{{ID: "b", Incarnation: 8}})
	c.Check(p.probes, qt.HasLen, 1)
}

// Guards against an entry that is probed by too few others, for any set of entries.
func TestEveryEntryIsProbed(t *testing.T) {
	c := qt.New(t)
	all := []entryRecord{{ID: "d"}, {ID: "a"}, {ID: "c"}, {ID: "b"}, {ID: "e"}}
	for n := range len(all) + 1 {
		probersOf := make(map[string]int)
		for i, own := range all[:n] {
			others := append(append([]entryRecord{}, all[:i]...), all[i+1:n]...)
			for _, peer := range nextPeers(own.ID, others, probedPeerCount) {
				c.Check(peer.ID, qt.Not(qt.Equals), own.ID)
				probersOf[peer.ID]++
			}
		}
		for id, probers := range probersOf {
			c.Check(probers, qt.Equals, min(probedPeerCount, n-1), qt.Commentf("probers of %s among %d entries", id, n))
		}
	}
}
