package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// entryLink is the state that a ReportRouter keeps of one entry.
type entryLink struct {
	digest    uint64         // of the last answer with content
	relay     wire.RelayInfo // that the entry named
	isPlanner bool           // whether the last answer came with planner leadership
	answered  bool
	sentAt    time.Time

	viaRelay      bool // reports go through the relay
	viaRelaySince time.Time
	idleReported  bool // ConnectionIdle has returned true

	// The last report, until it is answered.
	sequence      uint64
	batch         []wire.AgentReport
	cursor        Cursor
	urgentChanges bool // changes of members wait to be sent
}

// relayLink is the state that a ReportRouter keeps of its own relay.
type relayLink struct {
	sentAt   time.Time
	sequence uint64
}
