package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// entryLink is what an Announcer keeps of one entry.
type entryLink struct {
	digest    uint64         // digest of the last answer with content
	relay     wire.RelayInfo // relay that it named
	isPlanner bool           // its last answer was a planner's
	answered  bool
	sentAt    time.Time

	viaRelay      bool      // its reports go by the relay
	viaRelaySince time.Time // covered since
	idleReported  bool      // its connection was given up

	// The last report, until it is answered.
	sequence   uint64
	batch      []wire.AgentReport
	cursor     Cursor
	memberNews bool // of members, not sent yet
}

// relayLink is what an Announcer keeps of its own relay.
type relayLink struct {
	sentAt   time.Time
	sequence uint64
}
