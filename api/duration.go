package api

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written in JSON as a Go duration ("10m").
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf(`must be a duration such as "10m", not %s`, text)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf(`must be a duration such as "10m", not %q`, s)
	}
	*d = Duration(v)
	return nil
}
