package relay

// Direction is the direction of a datagram.
type Direction int

// Valid values of Direction.
const (
	ToUpstream   Direction = iota // towards the upstream
	FromUpstream                  // from the upstream to the source
	directionCount
)

// BothDirections lists both directions.
var BothDirections = []Direction{ToUpstream, FromUpstream}
