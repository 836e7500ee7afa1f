package api

import (
	"net/http"
	"strconv"
	"time"
)

// Call is what the headers of a request say about how to treat it.
type Call struct {
	Account string
	Class   string
	// Deadline is the time the caller still waits; 0 for the class's default.
	Deadline time.Duration
	// Repeatable is nil for the class's default.
	Repeatable     *bool
	IdempotencyKey string
	// First vouches that nothing was delivered under the key before. Only then
	// can "not run" be said of a request that must not run twice while the
	// platform's store is out: without it, an earlier delivery may have run.
	First bool
}

// ParseCall reads and checks the headers of a quick request.
func ParseCall(h http.Header) (Call, *Problem) {
	c := Call{
		Account:        h.Get(HeaderAccount),
		Class:          h.Get(HeaderClass),
		IdempotencyKey: h.Get(HeaderIdempotencyKey),
	}
	if p := checkName(HeaderAccount, c.Account); p != nil {
		return Call{}, p
	}
	if p := checkName(HeaderClass, c.Class); p != nil {
		return Call{}, p
	}
	if p := checkKey(c.IdempotencyKey); p != nil {
		return Call{}, p
	}
	var p *Problem
	if c.Deadline, p = parseDeadline(h.Get(HeaderDeadline)); p != nil {
		return Call{}, p
	}
	if c.Repeatable, p = parseBool(h, HeaderRepeatable); p != nil {
		return Call{}, p
	}
	first, p := parseBool(h, HeaderFirst)
	if p != nil {
		return Call{}, p
	}
	c.First = first != nil && *first
	return c, nil
}

// SetHeader writes the call's headers.
func (c Call) SetHeader(h http.Header) {
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
	if c.First {
		h.Set(HeaderFirst, strconv.FormatBool(true))
	}
}

// CheckIdempotencyKey checks the key of a request or a job; empty is allowed.
func CheckIdempotencyKey(key string) *Problem {
	return checkKey(key)
}

func checkKey(key string) *Problem {
	if len(key) > MaxIdempotencyKeyLen {
		return Invalid(HeaderIdempotencyKey, "longer than "+strconv.Itoa(MaxIdempotencyKeyLen)+" bytes")
	}
	return nil
}

func checkName(field, name string) *Problem {
	switch {
	case name == "":
		return Invalid(field, "missing")
	case len(name) > MaxNameLen:
		return Invalid(field, "longer than "+strconv.Itoa(MaxNameLen)+" bytes")
	}
	return nil
}

func parseDeadline(s string) (time.Duration, *Problem) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, Invalid(HeaderDeadline, "not a duration: "+strconv.Quote(s))
	}
	if d <= 0 {
		return 0, Invalid(HeaderDeadline, "must be more than 0")
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
	return nil, Invalid(name, `must be "true" or "false"`)
}
