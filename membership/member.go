package membership

import "github.com/eelgrasshub/eelgrasshub/wire"

// State is the liveness of a member.
type State int

// Members that are lost or have left are not in snapshots and have no State.
const (
	Alive State = iota
	Suspect
)

// Member is the last known state of one agent. It is immutable.
type Member struct {
	// Report combines all reports of the agent into a full one.
	Report wire.AgentReport
	State  State
}

// Schedulable reports whether the member may get new work.
func (m *Member) Schedulable() bool { return !m.Report.Draining }

func (m *Member) with(change func(*Member)) *Member {
	next := *m
	change(&next)
	return &next
}
