package scheduler

// Adjacency is the widest unit of the topology over which the accelerators of a
// gang may be spread.
type Adjacency uint8

// Adjacencies from the widest to the narrowest.
const (
	AdjacentAny Adjacency = iota
	AdjacentZone
	AdjacentRack
	AdjacentWorker
)

// String returns the name of the adjacency in service documents.
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
