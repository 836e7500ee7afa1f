package document

import "time"

// Held is the version in force for one service in this process. It is never
// changed.
type Held struct {
	Version  Version
	Document *Document
	Since    time.Time // when it came into force in this process
}
