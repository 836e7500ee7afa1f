package membership

import (
	"cmp"
	"time"
)

// Defaults of the zero fields of ReporterConfig.
const (
	DefaultCoalesce = 50 * time.Millisecond
	DefaultJitter   = 0.2
)

// ReporterConfig configures a Reporter; a zero field takes its default.
type ReporterConfig struct {
	// Period is the time between reports without changes.
	Period time.Duration
	// Coalesce is the shortest time between two reports to one receiver, so that
	// changes that occur together are sent together.
	Coalesce time.Duration
	// Jitter is the share by which periods are shortened or lengthened at random, so
	// that agents that started together do not report together.
	Jitter float64
}

func (c ReporterConfig) withDefaults() ReporterConfig {
	c.Period = cmp.Or(c.Period, DefaultReportPeriod)
	c.Coalesce = cmp.Or(c.Coalesce, DefaultCoalesce)
	c.Jitter = cmp.Or(c.Jitter, DefaultJitter)
	return c
}
