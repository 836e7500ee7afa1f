package standin

import (
	"cmp"
	"time"
)

// Defaults of Options: a worker of the sample deployments.
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
	// Name of the worker in its audit.
	Name string
	// Slots is how many quick requests run at once at full speed.
	Slots        int
	Connections  int
	Accelerators int
	Cores        int
	MemoryMB     int
	// ServiceTime is the service time of a quick request that doesn't say its own.
	ServiceTime time.Duration
	// MaxUsageAge is how old reported usage may be.
	MaxUsageAge time.Duration
	// MaxAuditRecords bounds the audit log; later records are dropped and counted.
	MaxAuditRecords int
	// MaxEndedTasks bounds the ended tasks that are remembered; the oldest go first.
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
