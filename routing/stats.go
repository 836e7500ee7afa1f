package routing

import "time"

// Stats is a snapshot of a Router.
type Stats struct {
	Inflight int // attempts in flight at all targets
	Window   int // sum of the windows of open targets
	Targets  []TargetStats
}

// TargetStats is a snapshot of one endpoint.
type TargetStats struct {
	ID       TargetID
	Inflight int
	Window   int
	Latency  time.Duration
	Load     int // requests estimated at the target, other entries' included
	Draining bool
	Ejected  bool
}
