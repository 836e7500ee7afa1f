package schema

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a duration written as text with a unit, such as "250ms", "10s" or "4h". A
// bare number is rejected, since its unit would be ambiguous.
type Duration struct {
	time.Duration
}

// Seconds returns a Duration of n seconds.
func Seconds(n int) Duration {
	return Duration{time.Duration(n) * time.Second}
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("%q is not a duration", text)
	}
	d.Duration = v
	return nil
}

// String returns the shortest text form, such as 1h instead of 1h0m0s.
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

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}
