package lease

import "github.com/rotisserie/eris"

// ErrStaleEpoch is returned for an order of a leader that has been replaced.
var ErrStaleEpoch = eris.New("stale epoch")
