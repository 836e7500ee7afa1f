package routing

import "time"

// Stats is a snapshot of a Router.
type Stats struct {
	Inflight int // attempts in flight at all targets
	Window   int // sum of the windows of available targets
	Targets  []TargetStats
}

// TargetStats is a snapshot of what the Router knows about one target.
type TargetStats struct {
	ID       TargetID
	Inflight int
	Window   int
	Latency  time.Duration
	Load     int // estimated requests at the target, including those of other entries
	Draining bool
	Ejected  bool
}
