package membership

import (
	"cmp"
	"time"
)

// Defaults of the zero fields of Config.
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

// Config configures a Table; a zero field takes its default, if there is one.
type Config struct {
	// SuspectAfter and LostAfter count from the last contact with an agent.
	// SuspectAfter should exceed two reporting periods.
	SuspectAfter time.Duration
	LostAfter    time.Duration
	// ForgetAfter is how long the incarnation and sequence of a member that is lost or
	// has left are kept, so that late reports can't revive it.
	ForgetAfter time.Duration
	// ReportPeriod is the period requested of agents. It grows when their number would
	// exceed ReportsPerSecond.
	ReportPeriod     time.Duration
	ReportsPerSecond float64
	// MaxMembers bounds the number of records, including those of lost members. At the
	// limit the record that has been without a member for longest is dropped; if there
	// is none, new members are refused.
	MaxMembers int
	// JoinsPerSecond and JoinBurst limit the admission of members that are not known
	// yet.
	JoinsPerSecond float64
	JoinBurst      float64
	// PublishInterval is the shortest time between snapshots for changes that can wait,
	// such as load. Joins, draining, losses and departures are published at once.
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
