package attempts

import (
	"cmp"
	"time"
)

// ID names one attempt to run one request on one incarnation of an agent.
type ID struct {
	// Issued is the entry's wall clock in nanoseconds since the Unix epoch, from
	// before the claim was written.
	Issued int64 `cbor:"1,keyasint"`
	// Entry is unique to the entry's process, Sequence within it.
	Entry    uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// Incarnation is that of the agent, which forgets all attempts at a restart.
	Incarnation uint64 `cbor:"4,keyasint"`
}

// Compare orders attempts by the time they were issued.
func (a ID) Compare(b ID) int {
	return cmp.Or(
		cmp.Compare(a.Issued, b.Issued),
		cmp.Compare(a.Entry, b.Entry),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

func (a ID) issuedAt() time.Time { return time.Unix(0, a.Issued) }
