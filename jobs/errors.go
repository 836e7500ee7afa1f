package jobs

import "github.com/rotisserie/eris"

var (
	// ErrNotFound: no job of that id is on record; it was never accepted here or
	// its retention has passed.
	ErrNotFound = eris.New("job not found")
	// ErrConflict: the record changed since it was read. The result carries the
	// record as it is now.
	ErrConflict = eris.New("job record changed meanwhile")
	// ErrOutcomeUnknown: the write was sent and neither its reply nor a reading
	// back could show whether it took effect.
	ErrOutcomeUnknown = eris.New("outcome of the job write is not known")
	// ErrIdempotencyKeyReused: the idempotency key was used before with another request.
	ErrIdempotencyKeyReused = eris.New("idempotency key was used with a different job")
)
