package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

const groupCount = 6

// record is what the table keeps of one agent. member is nil once the agent is
// lost or has left; the rest stays, so that late reports can't revive it.
type record struct {
	id          string
	incarnation uint64
	sequence    uint64
	draining    bool
	left        bool
	direct      bool
	heard       time.Time
	gone        time.Time // since when member is nil
	member      *Member

	// For relays: the table's version of the last news of the agent's life
	// and of each group, and the agent's sequence of each group.
	lifeVersion  uint64
	groupVersion [groupCount]uint64
	groupSeq     [groupCount]uint64
}

// touch notes that groups changed at the record's sequence.
func (r *record) touch(groups wire.FieldGroups, version uint64) {
	r.lifeVersion = version
	for g := range groupCount {
		if groups&(1<<g) != 0 {
			r.groupVersion[g] = version
			r.groupSeq[g] = r.sequence
		}
	}
}

// restart makes the record that of a later incarnation of which nothing but
// its existence is known.
func (r *record) restart(incarnation uint64, now time.Time) {
	*r = record{id: r.id, incarnation: incarnation, gone: now}
}
