package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const problemTypePrefix = "urn:eelgrasshub:problem:"

// Problem is the answer to a request that did not end as done (RFC 9457). It
// is an error. Its outcome and status follow from Reason and can't be set.
type Problem struct {
	// Reason decides outcome and status.
	Reason Reason
	// Detail is for a human reader.
	Detail string
	// Field names the header or JSON field at fault, for ReasonInvalid.
	Field string
	// RequestID is the id of the request, when it has one.
	RequestID string
	// RetryAfter is when to come back; 0 where coming back is of no use.
	RetryAfter time.Duration
}

// NewProblem makes a Problem without a time to come back.
func NewProblem(reason Reason, detail string) *Problem {
	return &Problem{Reason: reason, Detail: detail}
}

// NewRetryableProblem makes a Problem that tells the caller when to come back.
func NewRetryableProblem(reason Reason, detail string, retryAfter time.Duration) *Problem {
	return &Problem{Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// NewInvalidProblem makes a Problem about one header or JSON field.
func NewInvalidProblem(field, detail string) *Problem {
	return &Problem{Reason: ReasonInvalid, Field: field, Detail: detail}
}

// Outcome is what the problem claims about the request.
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

// WriteResponse answers an HTTP request with the problem.
func (p *Problem) WriteResponse(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		panic("api: problem can't be encoded: " + err.Error())
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
	// A failed write means that the caller is gone; nothing is left to tell.
	_, _ = w.Write(body)
}

func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
