package membership

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	DefaultSuspectAfter     = 25 * time.Second
	DefaultLostAfter        = 60 * time.Second
	DefaultForgetAfter      = 10 * time.Minute
	DefaultReportPeriod     = 10 * time.Second
	DefaultMaxMembers       = 20000
	DefaultJoinsPerSecond   = 200
	DefaultJoinBurst        = 50
	DefaultReportsPerSecond = 500
)

// Config holds a Table's settings; a zero field takes its default.
type Config struct {
	// SuspectAfter and LostAfter count from when an agent was last heard.
	// SuspectAfter should exceed two reporting periods.
	SuspectAfter time.Duration
	LostAfter    time.Duration
	// ForgetAfter is how long the incarnation and sequence of a member that
	// is lost or has left are kept, so that late relays can't revive it.
	ForgetAfter time.Duration
	// ReportPeriod is the period asked of agents; it grows when they are more
	// than ReportsPerSecond allows.
	ReportPeriod     time.Duration
	ReportsPerSecond float64
	// MaxMembers bounds all records, those of lost members included. The
	// longest lost are dropped first; then new members are refused.
	MaxMembers int
	// JoinsPerSecond and FullBurst limit the admission of members that are
	// not known yet.
	JoinsPerSecond float64
	JoinBurst      float64
	// PublishInterval is the least time between snapshots for changes that can
	// wait, such as load. Joins, draining, loss and goodbye never wait.
	PublishInterval time.Duration
}

func (c Config) withDefaults() Config {
	c.SuspectAfter = cmp.Or(c.SuspectAfter, DefaultSuspectAfter)
	c.LostAfter = cmp.Or(c.LostAfter, DefaultLostAfter)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	c.ReportPeriod = cmp.Or(c.ReportPeriod, DefaultReportPeriod)
	c.ReportsPerSecond = cmp.Or(c.ReportsPerSecond, DefaultReportsPerSecond)
	c.MaxMembers = cmp.Or(c.MaxMembers, DefaultMaxMembers)
	c.JoinsPerSecond = cmp.Or(c.JoinsPerSecond, DefaultJoinsPerSecond)
	c.JoinBurst = cmp.Or(c.JoinBurst, DefaultJoinBurst)
	return c
}
