package lease

import "github.com/rotisserie/eris"

// ErrStaleEpoch: the order comes from a holder that has been replaced.
var ErrStaleEpoch = eris.New("stale epoch")
