package api

import (
	"encoding/json"
	"reflect"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a Go duration string such as
// "10m".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return invalidDuration(text)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return invalidDuration(text)
	}
	*d = Duration(v)
	return nil
}

// maxQuotedLen is the maximum length of an invalid value that an error quotes, in bytes.
const maxQuotedLen = 64

// invalidDuration returns an error to which the JSON decoder adds the name of the field.
func invalidDuration(text []byte) error {
	return &json.UnmarshalTypeError{
		Value: string(text[:min(len(text), maxQuotedLen)]),
		Type:  reflect.TypeFor[Duration](),
	}
}
