package api

import (
	"encoding/json"
	"reflect"
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
		return notDuration(text)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return notDuration(text)
	}
	*d = Duration(v)
	return nil
}

// maxShown bounds how much of a wrong value an error repeats, in bytes.
const maxShown = 64

// notDuration is the error to which the decoder adds the field's name.
func notDuration(text []byte) error {
	return &json.UnmarshalTypeError{
		Value: string(text[:min(len(text), maxShown)]),
		Type:  reflect.TypeFor[Duration](),
	}
}
