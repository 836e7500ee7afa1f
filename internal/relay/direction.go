package relay

// Direction says which way a datagram goes.
type Direction int

// Directions of a flow.
const (
	ToUpstream   Direction = iota // to the upstream
	FromUpstream                  // back from it
	directionCount
)

// BothDirections are all directions.
var BothDirections = []Direction{ToUpstream, FromUpstream}
