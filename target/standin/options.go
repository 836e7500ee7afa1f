package standin

import (
	"cmp"
	"time"
)

// Defaults of Options: a worker of the sample deployments.
const (
	DefaultSlots        = 8
	DefaultConnections  = 64
	DefaultAccelerators = 8
	DefaultCores        = 32
	DefaultMemoryMB     = 64 << 10
	DefaultWork         = 2 * time.Millisecond
	DefaultUsageLag     = 2 * time.Second
	DefaultMaxRecords   = 1 << 20
	DefaultMaxEnded     = 4096
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
	// Work is the service time of a quick request that doesn't say its own.
	Work time.Duration
	// UsageLag is how old reported usage may be.
	UsageLag time.Duration
	// MaxRecords bounds the audit log; later records are dropped and counted.
	MaxRecords int
	// MaxEnded bounds the ended tasks that are remembered; the oldest go first.
	MaxEnded int
}

func (o Options) withDefaults() Options {
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	o.Connections = cmp.Or(o.Connections, DefaultConnections)
	o.Accelerators = cmp.Or(o.Accelerators, DefaultAccelerators)
	o.Cores = cmp.Or(o.Cores, DefaultCores)
	o.MemoryMB = cmp.Or(o.MemoryMB, DefaultMemoryMB)
	o.Work = cmp.Or(o.Work, DefaultWork)
	o.UsageLag = cmp.Or(o.UsageLag, DefaultUsageLag)
	o.MaxRecords = cmp.Or(o.MaxRecords, DefaultMaxRecords)
	o.MaxEnded = cmp.Or(o.MaxEnded, DefaultMaxEnded)
	return o
}
