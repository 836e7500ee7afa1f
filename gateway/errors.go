package gateway

import (
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/records"
)

// isPermanent reports whether retrying a write cannot change its outcome.
func isPermanent(err error) bool {
	return eris.Is(err, records.ErrDeposed) || eris.Is(err, records.ErrConflict)
}
