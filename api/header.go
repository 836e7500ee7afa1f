package api

// Headers of a quick request and of its answer.
const (
	// HeaderAccount names the client account. Required.
	HeaderAccount = "Eelgrasshub-Account"
	// HeaderClass names the class of work in the service document. Required.
	HeaderClass = "Eelgrasshub-Class"
	// HeaderDeadline is the time the caller still waits, as a Go duration
	// ("250ms"). Without it the class's default holds.
	HeaderDeadline = "Eelgrasshub-Deadline"
	// HeaderRepeatable is "true" or "false". Without it the class's default holds.
	HeaderRepeatable = "Eelgrasshub-Repeatable"
	// HeaderIdempotencyKey makes a retry of the same request recognisable,
	// also when it arrives at another entry.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstDelivery "true" vouches that nothing was delivered under the key before,
	// nor is meanwhile; see Call.First.
	HeaderFirstDelivery = "Eelgrasshub-First-Delivery"

	// HeaderOutcome carries the Outcome of an answer.
	HeaderOutcome = "Eelgrasshub-Outcome"
	// HeaderRequestID carries the id the entry gave the request.
	HeaderRequestID = "Eelgrasshub-Request"
	// HeaderRetryAfter is in whole seconds, rounded up (RFC 9110).
	HeaderRetryAfter = "Retry-After"
)

// Content types of bodies.
const (
	ContentTypeJSON    = "application/json"
	ContentTypeProblem = "application/problem+json"
)

// Bounds on what a caller may send.
const (
	// MaxNameLen bounds names of accounts, classes and services, in bytes.
	MaxNameLen = 64
	// MaxIdempotencyKeyLen bounds an idempotency key, in bytes.
	MaxIdempotencyKeyLen = 128
	// MaxBodyLen bounds the body of a quick request, in bytes.
	MaxBodyLen = 1 << 20
	// MaxPayloadLen bounds the payload of a job, in bytes. A job record must
	// fit into one value of the platform's store, with room for its state.
	MaxPayloadLen = 64 << 10
	// MaxCancelIDs bounds the ids of one cancel request.
	MaxCancelIDs = 1000
)
