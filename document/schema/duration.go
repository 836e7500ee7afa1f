package schema

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time span written as text with a unit, such as "250ms", "10s"
// or "4h". A bare number is refused, because its unit would be a guess.
type Duration struct {
	time.Duration
}

// Seconds returns a Duration of n whole seconds.
func Seconds(n int) Duration {
	return Duration{time.Duration(n) * time.Second}
}

// UnmarshalText parses the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("%q is not a duration", text)
	}
	d.Duration = v
	return nil
}

// String returns the shortest text form: 1h, not 1h0m0s.
func (d Duration) String() string {
	s := d.Duration.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// MarshalText returns the text form.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}
