package api

// Headers of quick requests and their responses.
const (
	// HeaderAccount names the client account. It is required.
	HeaderAccount = "Eelgrasshub-Account"
	// HeaderClass names the class of work in the service's document. It is required.
	HeaderClass = "Eelgrasshub-Class"
	// HeaderDeadline is how long the caller will wait, as a Go duration such as "250ms".
	// It defaults to the class's deadline.
	HeaderDeadline = "Eelgrasshub-Deadline"
	// HeaderRepeatable is "true" or "false". It defaults to the class's setting.
	HeaderRepeatable = "Eelgrasshub-Repeatable"
	// HeaderIdempotencyKey identifies retries of the same request, also at another entry.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstDelivery is "true" if no request was, or is being, delivered under the
	// key; see CallOptions.FirstDelivery.
	HeaderFirstDelivery = "Eelgrasshub-First-Delivery"

	// HeaderOutcome is the Outcome of the request.
	HeaderOutcome = "Eelgrasshub-Outcome"
	// HeaderRequestID is the request ID that the entry assigned.
	HeaderRequestID = "Eelgrasshub-Request"
	// HeaderRetryAfter is a delay in whole seconds, rounded up (RFC 9110).
	HeaderRetryAfter = "Retry-After"
)

// Content types of request and response bodies.
const (
	ContentTypeJSON    = "application/json"
	ContentTypeProblem = "application/problem+json"
)

// Limits on requests.
const (
	// MaxNameLen limits the names of accounts, classes and services, in bytes.
	MaxNameLen = 64
	// MaxIdempotencyKeyLen limits an idempotency key, in bytes.
	MaxIdempotencyKeyLen = 128
	// MaxBodyLen limits the body of a quick request, in bytes.
	MaxBodyLen = 1 << 20
	// MaxPayloadLen limits the payload of a job, in bytes. A job record, with its state,
	// must fit into one value of the platform's store.
	MaxPayloadLen = 64 << 10
	// MaxCancelIDs limits the IDs of one cancel request.
	MaxCancelIDs = 1000
)
