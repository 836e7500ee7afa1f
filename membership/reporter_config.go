package membership

import (
	"cmp"
	"time"
)

// Defaults of ReporterConfig.
const (
	DefaultCoalesce = 50 * time.Millisecond
	DefaultJitter   = 0.2
)

// ReporterConfig holds a Reporter's settings; a zero field takes its default.
type ReporterConfig struct {
	// Period is the period of reports without news.
	Period time.Duration
	// Coalesce is the least time between two reports to one receiver, so
	// that changes that come together travel together.
	Coalesce time.Duration
	// Jitter is the share by which periods are shortened or lengthened at
	// random, so that agents that started together don't report together.
	Jitter float64
}

func (c ReporterConfig) withDefaults() ReporterConfig {
	c.Period = cmp.Or(c.Period, DefaultReportPeriod)
	c.Coalesce = cmp.Or(c.Coalesce, DefaultCoalesce)
	c.Jitter = cmp.Or(c.Jitter, DefaultJitter)
	return c
}
