package jobs

import "github.com/rotisserie/eris"

var (
	// ErrNotFound means that there is no record of the job: it was never
	// accepted here, or its retention has passed.
	ErrNotFound = eris.New("job not found")
	// ErrConflict means that the record has changed since it was read. It is
	// returned together with the current record.
	ErrConflict = eris.New("job record was changed concurrently")
	// ErrOutcomeUnknown means that the write was sent, and that neither its
	// reply nor a later read could show whether it took effect.
	ErrOutcomeUnknown = eris.New("outcome of job record write is unknown")
	// ErrIdempotencyKeyReused means that the idempotency key was used before
	// with a different request.
	ErrIdempotencyKeyReused = eris.New("idempotency key was used with a different job")
)
