package document

import "time"

// ActiveVersion is the version in force for one service in this process. It is never
// changed.
type ActiveVersion struct {
	Version  Version
	Document *Document
	Since    time.Time // when it came into force in this process
}
