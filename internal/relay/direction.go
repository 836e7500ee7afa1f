package relay

// Direction says which way a datagram goes.
type Direction int

// Directions of a flow.
const (
	Up   Direction = iota // to the upstream
	Down                  // back from it
	directions
)

// Both are all directions.
var Both = []Direction{Up, Down}
