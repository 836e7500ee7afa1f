package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

const groupCount = 6

// record is the table's state of one agent. member is nil once the agent is lost or has
// left; the record remains, so that late reports can't revive the agent.
type record struct {
	id          string
	incarnation uint64
	knownSince  time.Time // when the incarnation was first reported
	sequence    uint64
	draining    bool
	left        bool
	direct      bool
	lastContact time.Time
	goneSince   time.Time // since when member is nil
	member      *Member

	// For relays: the table's version of the last contact or change, the version of the
	// last change of each group, and the agent's sequence at that change.
	livenessVersion uint64
	groupVersion    [groupCount]uint64
	groupSeq        [groupCount]uint64
}

// markChanged records that groups changed at the record's sequence.
func (r *record) markChanged(groups wire.FieldGroups, version uint64) {
	r.livenessVersion = version
	for g := range groupCount {
		if groups&(1<<g) != 0 {
			r.groupVersion[g] = version
			r.groupSeq[g] = r.sequence
		}
	}
}

// reset makes the record that of a later incarnation of which only its existence is
// known.
func (r *record) reset(incarnation uint64, now time.Time) {
	*r = record{id: r.id, incarnation: incarnation, knownSince: now, goneSince: now}
}
