package api

import (
	"encoding/json"
	"fmt"
	"time"
)

type problemJSON struct {
	Type         string  `json:"type"`
	Title        string  `json:"title,omitempty"`
	Status       int     `json:"status"`
	Detail       string  `json:"detail,omitempty"`
	Field        string  `json:"field,omitempty"`
	Request      string  `json:"request,omitempty"`
	Reason       Reason  `json:"reason"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMS int64   `json:"retry_after_ms"`
}

// MarshalJSON encodes the problem as problem details.
func (p *Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(problemJSON{
		Type:         problemTypePrefix + string(p.Reason),
		Title:        p.Reason.title(),
		Status:       p.Reason.Status(),
		Detail:       p.Detail,
		Field:        p.Field,
		Request:      p.RequestID,
		Reason:       p.Reason,
		Outcome:      p.Outcome(),
		RetryAfterMS: p.RetryAfter.Milliseconds(),
	})
}

// UnmarshalJSON decodes problem details. It returns an error if the outcome contradicts
// the reason, since neither can be trusted then.
func (p *Problem) UnmarshalJSON(text []byte) error {
	var j problemJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return fmt.Errorf("problem details: %w", err)
	}
	if j.Reason == "" {
		return fmt.Errorf("problem details: reason: missing")
	}
	if _, known := reasons[j.Reason]; known && j.Outcome != j.Reason.Outcome() {
		return fmt.Errorf("problem details: outcome: %q contradicts reason %q", j.Outcome, j.Reason)
	}
	*p = Problem{
		Reason:     j.Reason,
		Detail:     j.Detail,
		Field:      j.Field,
		RequestID:  j.Request,
		RetryAfter: time.Duration(j.RetryAfterMS) * time.Millisecond,
	}
	return nil
}
