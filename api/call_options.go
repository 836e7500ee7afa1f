package api

import (
	"net/http"
	"strconv"
	"time"
)

// CallOptions are the options of a quick request, which callers send as headers.
type CallOptions struct {
	Account string
	Class   string
	// Deadline is how long the caller will wait; 0 selects the class's default.
	Deadline time.Duration
	// Repeatable is nil to select the class's default.
	Repeatable     *bool
	IdempotencyKey string
	// FirstDelivery asserts that no request was delivered under the key before. While the
	// platform's store is unavailable, a request that must not run twice is answered with
	// "not run" only if this is set; otherwise an earlier delivery may have run.
	FirstDelivery bool
}

// ParseCallOptions parses and validates the headers of a quick request.
func ParseCallOptions(h http.Header) (CallOptions, *Problem) {
	c := CallOptions{
		Account:        h.Get(HeaderAccount),
		Class:          h.Get(HeaderClass),
		IdempotencyKey: h.Get(HeaderIdempotencyKey),
	}
	if p := validateName(HeaderAccount, c.Account); p != nil {
		return CallOptions{}, p
	}
	if p := validateName(HeaderClass, c.Class); p != nil {
		return CallOptions{}, p
	}
	if p := validateKey(c.IdempotencyKey); p != nil {
		return CallOptions{}, p
	}
	var p *Problem
	if c.Deadline, p = parseDeadline(h.Get(HeaderDeadline)); p != nil {
		return CallOptions{}, p
	}
	if c.Repeatable, p = parseBool(h, HeaderRepeatable); p != nil {
		return CallOptions{}, p
	}
	first, p := parseBool(h, HeaderFirstDelivery)
	if p != nil {
		return CallOptions{}, p
	}
	c.FirstDelivery = first != nil && *first
	return c, nil
}

// SetHeader sets the headers that represent the options.
func (c CallOptions) SetHeader(h http.Header) {
	h.Set(HeaderAccount, c.Account)
	h.Set(HeaderClass, c.Class)
	if c.Deadline > 0 {
		h.Set(HeaderDeadline, c.Deadline.String())
	}
	if c.Repeatable != nil {
		h.Set(HeaderRepeatable, strconv.FormatBool(*c.Repeatable))
	}
	if c.IdempotencyKey != "" {
		h.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	}
	if c.FirstDelivery {
		h.Set(HeaderFirstDelivery, strconv.FormatBool(true))
	}
}

// ValidateIdempotencyKey validates the idempotency key of a request or a job. An empty key
// is valid.
func ValidateIdempotencyKey(key string) *Problem {
	return validateKey(key)
}

func validateKey(key string) *Problem {
	if len(key) > MaxIdempotencyKeyLen {
		return NewInvalidProblem(HeaderIdempotencyKey, "longer than "+strconv.Itoa(MaxIdempotencyKeyLen)+" bytes")
	}
	return nil
}

func validateName(field, name string) *Problem {
	switch {
	case name == "":
		return NewInvalidProblem(field, "missing")
	case len(name) > MaxNameLen:
		return NewInvalidProblem(field, "longer than "+strconv.Itoa(MaxNameLen)+" bytes")
	}
	return nil
}

func parseDeadline(s string) (time.Duration, *Problem) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, NewInvalidProblem(HeaderDeadline, "not a duration: "+strconv.Quote(s))
	}
	if d <= 0 {
		return 0, NewInvalidProblem(HeaderDeadline, "must be more than 0")
	}
	return d, nil
}

func parseBool(h http.Header, name string) (*bool, *Problem) {
	switch s := h.Get(name); s {
	case "":
		return nil, nil
	case "true", "false":
		v := s == "true"
		return &v, nil
	}
	return nil, NewInvalidProblem(name, `must be "true" or "false"`)
}
