package api

import (
	"context"
	"net/http"
)

// QuickRequest is a quick request to one service.
type QuickRequest struct {
	CallOptions
	Service string
	// Method is POST when empty.
	Method string
	// Path is handed to the target, escaped, without a leading slash.
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
}

// QuickResponse is how a quick request ended.
type QuickResponse struct {
	Outcome Outcome
	// RequestID is the id the entry gave it.
	RequestID string
	Status    int
	Header    http.Header
	// Body is the target's own whole body when Outcome is OutcomeDone.
	Body []byte
	// Problem is set when Outcome is not OutcomeDone and an entry said why.
	Problem *Problem
}

// SendQuick makes a quick request. The error is ErrNotSent or ErrOutcomeUnknown;
// a problem that the entry answered with is part of the Answer.
func (c *Client) SendQuick(ctx context.Context, r QuickRequest) (QuickResponse, error) {
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
	raw, err := c.send(ctx, method, path, h, r.Body)
	if err != nil {
		return QuickResponse{Outcome: OutcomeUnknown}, err
	}
	return newQuickResponse(raw), nil
}

func newQuickResponse(raw rawResponse) QuickResponse {
	a := QuickResponse{
		Outcome:   ParseOutcome(raw.header.Get(HeaderOutcome)),
		RequestID: raw.header.Get(HeaderRequestID),
		Status:    raw.status,
		Header:    raw.header,
		Body:      raw.body,
	}
	if a.Outcome != OutcomeDone {
		a.Problem = raw.problem()
	}
	return a
}
