package membership

import "time"

// Timing of reports through a relay. If a relay dies just before it reports, the
// entries receive no report of a member for at most
//
//	RelayPeriod + RelayHeartbeat + RelayHeartbeat + one call's timeout
//
// because the last batch carried a report that was one heartbeat old, and the member
// notices at its next heartbeat. This sum has to stay below the time after which a
// planner considers an agent lost (20 s by default); otherwise the death of a relay
// would restart the jobs of its whole rack.
const (
	// RelayHeartbeat is the longest period of a member's reports to its relay.
	RelayHeartbeat = 3 * time.Second
	// RelayPeriod is the longest period of a relay's reports to an entry.
	RelayPeriod = 8 * time.Second
	// relayAckValidity is how long a member omits its own reports after an answer of
	// the relay. It exceeds a heartbeat and the timeout of its call.
	relayAckValidity = 5 * time.Second
	// relayAvoidPeriod is how long a member avoids a relay that failed. Entries name
	// another one once they suspect the failed one.
	relayAvoidPeriod = 30 * time.Second
	// relayMemberTimeout is the time after which a relay drops a member that stopped
	// reporting to it. The member reports directly by then, or is dead.
	relayMemberTimeout = 10 * time.Second
	maxRelayMembers    = 256
)
