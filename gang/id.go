package gang

import "cmp"

// ID identifies one attempt to start one job.
type ID struct {
	Job string `cbor:"1,keyasint"`
	// Epoch is the fencing epoch of the planner that planned the attempt.
	Epoch uint64 `cbor:"2,keyasint"`
	// Number is unique within the epoch and increases over all jobs, so that
	// (Epoch, Number) orders attempts.
	Number uint64 `cbor:"3,keyasint"`
}

// Compare orders attempts by epoch, then number, then job.
func (a ID) Compare(b ID) int {
	return cmp.Or(
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.Number, b.Number),
		cmp.Compare(a.Job, b.Job),
	)
}
