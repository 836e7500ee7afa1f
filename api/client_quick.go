package api

import (
	"context"
	"net/http"
)

// QuickRequest is a quick request to a service.
type QuickRequest struct {
	CallOptions
	Service string
	// Method defaults to POST.
	Method string
	// Path is passed to the target. It is escaped and has no leading slash.
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
}

// QuickResponse is the result of a quick request.
type QuickResponse struct {
	Outcome Outcome
	// RequestID is assigned by the entry.
	RequestID string
	Status    int
	Header    http.Header
	// Body is the complete body of the target's answer if Outcome is OutcomeDone.
	Body []byte
	// Problem is the reason that the entry gave, if any, for another outcome.
	Problem *Problem
}

// SendQuick sends a quick request. Errors wrap ErrNotSent or ErrOutcomeUnknown; a problem
// that the entry reports is part of the response instead.
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
