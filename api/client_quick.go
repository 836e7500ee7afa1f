package api

import (
	"context"
	"net/http"
)

// QuickRequest is a quick request to one service.
type QuickRequest struct {
	Call
	Service string
	// Method is POST when empty.
	Method string
	// Path is handed to the target, escaped, without a leading slash.
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
}

// Answer is how a quick request ended.
type Answer struct {
	Outcome Outcome
	// Request is the id the entry gave it.
	Request string
	Status  int
	Header  http.Header
	// Body is the target's own whole body when Outcome is OutcomeDone.
	Body []byte
	// Problem is set when Outcome is not OutcomeDone and an entry said why.
	Problem *Problem
}

// Request makes a quick request. The error is ErrNotSent or ErrOutcomeUnknown;
// a problem that the entry answered with is part of the Answer.
func (c *Client) Request(ctx context.Context, r QuickRequest) (Answer, error) {
	h := http.Header{}
	if r.Header != nil {
		h = r.Header.Clone()
	}
	r.SetHeader(h)
	path := RequestPath(r.Service, r.Path)
	if r.RawQuery != "" {
		path += "?" + r.RawQuery
	}
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	raw, err := c.exchange(ctx, method, path, h, r.Body)
	if err != nil {
		return Answer{Outcome: OutcomeUnknown}, err
	}
	return newAnswer(raw), nil
}

func newAnswer(raw rawAnswer) Answer {
	a := Answer{
		Outcome: ParseOutcome(raw.header.Get(HeaderOutcome)),
		Request: raw.header.Get(HeaderRequest),
		Status:  raw.status,
		Header:  raw.header,
		Body:    raw.body,
	}
	if a.Outcome != OutcomeDone {
		a.Problem = raw.problem()
	}
	return a
}
