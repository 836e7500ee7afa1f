package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// entryLink is what an Announcer keeps of one entry.
type entryLink struct {
	known    uint64         // digest of the last answer with content
	named    wire.RelayInfo // relay that it named
	planner  bool           // its last answer was a planner's
	answered bool
	sent     time.Time

	covered bool      // its reports go by the relay
	since   time.Time // covered since
	closed  bool      // its connection was given up

	// The last report, until it is answered.
	sequence uint64
	batch    []wire.AgentReport
	cursor   Cursor
	news     bool // of members, not sent yet
}

// relayLink is what an Announcer keeps of its own relay.
type relayLink struct {
	sent     time.Time
	sequence uint64
}
