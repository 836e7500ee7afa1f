package standin

import (
	"cmp"
	"time"
)

// Defaults for zero fields of Options.
const (
	DefaultSlots           = 8
	DefaultConnections     = 64
	DefaultAccelerators    = 8
	DefaultCores           = 32
	DefaultMemoryMB        = 64 << 10
	DefaultServiceTime     = 2 * time.Millisecond
	DefaultMaxUsageAge     = 2 * time.Second
	DefaultMaxAuditRecords = 1 << 20
	DefaultMaxEndedTasks   = 4096
)

// Options configure a Server. Zero values take the defaults.
type Options struct {
	// Name is the worker's name in its audit.
	Name string
	// Slots is the number of quick requests that run at once at full speed.
	Slots        int
	Connections  int
	Accelerators int
	Cores        int
	MemoryMB     int
	// ServiceTime is the service time of a quick request without ParamServiceTimeMS.
	ServiceTime time.Duration
	// MaxUsageAge is the maximum age of reported usage.
	MaxUsageAge time.Duration
	// MaxAuditRecords bounds the audit log; further records are dropped and counted.
	MaxAuditRecords int
	// MaxEndedTasks bounds the number of ended tasks that are kept; the oldest are
	// dropped first.
	MaxEndedTasks int
}

func (o Options) withDefaults() Options {
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	o.Connections = cmp.Or(o.Connections, DefaultConnections)
	o.Accelerators = cmp.Or(o.Accelerators, DefaultAccelerators)
	o.Cores = cmp.Or(o.Cores, DefaultCores)
	o.MemoryMB = cmp.Or(o.MemoryMB, DefaultMemoryMB)
	o.ServiceTime = cmp.Or(o.ServiceTime, DefaultServiceTime)
	o.MaxUsageAge = cmp.Or(o.MaxUsageAge, DefaultMaxUsageAge)
	o.MaxAuditRecords = cmp.Or(o.MaxAuditRecords, DefaultMaxAuditRecords)
	o.MaxEndedTasks = cmp.Or(o.MaxEndedTasks, DefaultMaxEndedTasks)
	return o
}
