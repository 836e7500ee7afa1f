package membership

import "time"

// Timing of reports by a relay. Between two reports of a member, its entries
// hear nothing of it for at most
//
//	RelayPeriod + RelayHeartbeat + RelayHeartbeat + one call's timeout
//
// when its relay dies just before a batch: the batch before carried a report as
// old as a heartbeat, and the member notices at its next one. That has to stay
// below the time after which a planner takes an agent for lost (20 s by
// default), or the death of a relay would restart the jobs of its whole rack.
const (
	// RelayHeartbeat is the longest period of a member's reports to its relay.
	RelayHeartbeat = 3 * time.Second
	// RelayPeriod is the longest period of a relay's reports to an entry.
	RelayPeriod = 8 * time.Second
	// relayAckValidity is for how long the relay's last answer lets a member leave out
	// its own reports. It exceeds a heartbeat and the timeout of its call.
	relayAckValidity = 5 * time.Second
	// relayAvoidPeriod is for how long a member avoids a relay that failed it. Entries
	// name another one once they suspect the failed one.
	relayAvoidPeriod = 30 * time.Second
	// relayMemberTimeout is after how long a relay drops a member that does not
	// report to it any more. The member reports by itself then, or is dead.
	relayMemberTimeout = 10 * time.Second
	relayMaxMembers    = 256
)
