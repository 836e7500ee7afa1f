package scheduler

// Adjacency is the widest span over which the accelerators of a gang may lie.
type Adjacency uint8

// Spans from the widest to the tightest.
const (
	AdjacentAny Adjacency = iota
	AdjacentZone
	AdjacentRack
	AdjacentWorker
)

// String returns the name that documents use for the span.
func (a Adjacency) String() string {
	switch a {
	case AdjacentAny:
		return "any"
	case AdjacentZone:
		return "zone"
	case AdjacentRack:
		return "rack"
	case AdjacentWorker:
		return "worker"
	}
	return "unknown"
}
