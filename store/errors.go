package store

import "github.com/rotisserie/eris"

var (
	// ErrUnavailable: the service could not be reached or refused the call; a
	// write that met it has certainly not taken effect.
	ErrUnavailable = eris.New("platform store unavailable")
	// ErrOutcomeUnknown: the call was sent and its reply was lost.
	ErrOutcomeUnknown = eris.New("outcome of the store call unknown")
	// ErrLeaseNotFound: the lease has lapsed or was revoked.
	ErrLeaseNotFound = eris.New("platform store lease not found")
	// ErrCompacted: the store no longer holds the revision a watch asked for;
	// the caller lists again.
	ErrCompacted = eris.New("platform store revision compacted")
	// ErrRateLimited: the process's own call budget is used up; the call was not
	// made.
	ErrRateLimited = eris.New("platform store call budget used up")
)

var (
	// ErrTooLarge: one swap alone is larger than a call may be; nothing was
	// sent.
	ErrTooLarge = eris.New("swap larger than a store call may be")
	// ErrQueueFull: the Batcher's queue is full; the swap was not made.
	ErrQueueFull = eris.New("too many swaps waiting for the store")
	// ErrCanceled: the caller gave up before its swap was sent; it was not
	// made.
	ErrCanceled = eris.New("swap given up before it was sent")
)

// ErrClosed: the Batcher has been closed; the swap was not made.
var ErrClosed = eris.New("batcher closed")
