package document

import "time"

// ActiveVersion is the version that is active for one service in this process. It is
// immutable.
type ActiveVersion struct {
	Version  Version
	Document *Document
	Since    time.Time // when it became active in this process
}
