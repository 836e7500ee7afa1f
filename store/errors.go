package store

import "github.com/rotisserie/eris"

var (
	// ErrUnavailable means that the service could not be reached or rejected the call.
	// A Commit or CommitIf that returns it has not taken effect.
	ErrUnavailable = eris.New("platform store unavailable")
	// ErrOutcomeUnknown means that the call was sent and its reply was lost.
	ErrOutcomeUnknown = eris.New("outcome of the store call unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = eris.New("platform store lease not found")
	// ErrCompacted means that the store no longer holds the requested revision; the
	// caller has to list again.
	ErrCompacted = eris.New("platform store revision compacted")
	// ErrRateLimited means that the call was not made because of Options.RateLimit.
	ErrRateLimited = eris.New("platform store call budget used up")
)

var (
	// ErrTooLarge means that a single swap exceeds the size limit of a call; nothing
	// was sent.
	ErrTooLarge = eris.New("swap larger than a store call may be")
	// ErrQueueFull means that the Batcher's queue is full; the swap was not made.
	ErrQueueFull = eris.New("too many swaps waiting for the store")
	// ErrCanceled means that the caller's context ended before the swap was sent; it
	// was not made.
	ErrCanceled = eris.New("swap given up before it was sent")
)

// ErrClosed means that the Batcher has been closed; the swap was not made.
var ErrClosed = eris.New("batcher closed")
