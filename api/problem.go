package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const problemTypePrefix = "urn:eelgrasshub:problem:"

// Problem is the response to a request whose outcome is not OutcomeDone, as problem
// details (RFC 9457). It implements error.
type Problem struct {
	// Reason determines the outcome and the HTTP status.
	Reason Reason
	// Detail is a human-readable explanation.
	Detail string
	// Field names the invalid header or JSON field, for ReasonInvalid.
	Field string
	// RequestID is the ID of the request, if it has one.
	RequestID string
	// RetryAfter is when the caller should retry; 0 if a retry is pointless.
	RetryAfter time.Duration
}

// NewProblem returns a Problem without RetryAfter.
func NewProblem(reason Reason, detail string) *Problem {
	return &Problem{Reason: reason, Detail: detail}
}

// NewRetryableProblem returns a Problem that tells the caller when to retry.
func NewRetryableProblem(reason Reason, detail string, retryAfter time.Duration) *Problem {
	return &Problem{Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// NewInvalidProblem returns a Problem about one header or JSON field.
func NewInvalidProblem(field, detail string) *Problem {
	return &Problem{Reason: ReasonInvalid, Field: field, Detail: detail}
}

// Outcome returns the outcome of the request, which follows from the reason.
func (p *Problem) Outcome() Outcome {
	return p.Reason.Outcome()
}

// Error implements error.
func (p *Problem) Error() string {
	s := fmt.Sprintf("%s (%s)", p.Reason, p.Outcome())
	if p.Field != "" {
		s += ": " + p.Field
	}
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	return s
}

// WriteResponse writes the problem as an HTTP response.
func (p *Problem) WriteResponse(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		panic("api: failed to encode problem details: " + err.Error())
	}
	h := w.Header()
	h.Set("Content-Type", ContentTypeProblem)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(p.Outcome()))
	if p.RequestID != "" {
		h.Set(HeaderRequestID, p.RequestID)
	}
	if p.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(ceilSeconds(p.RetryAfter), 10))
	}
	w.WriteHeader(p.Reason.Status())
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(body)
}

// ceilSeconds returns d in seconds, rounded up.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
