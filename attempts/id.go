package attempts

import (
	"cmp"
	"time"
)

// ID identifies one attempt to run a request on one incarnation of an agent.
type ID struct {
	// Issued is the entry's wall clock in nanoseconds since the Unix epoch, read
	// before the claim is written.
	Issued int64 `cbor:"1,keyasint"`
	// Entry is unique to the entry's process, and Sequence is unique within it.
	Entry    uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// Incarnation is the agent's. An agent forgets all attempts when it restarts.
	Incarnation uint64 `cbor:"4,keyasint"`
}

// Compare orders IDs by the time of issue.
func (a ID) Compare(b ID) int {
	return cmp.Or(
		cmp.Compare(a.Issued, b.Issued),
		cmp.Compare(a.Entry, b.Entry),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

func (a ID) issuedAt() time.Time { return time.Unix(0, a.Issued) }
