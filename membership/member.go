package membership

import "github.com/eelgrasshub/eelgrasshub/wire"

// State of a member.
type State int

// States. Members that are lost or have left are not in snapshots.
const (
	Alive State = iota
	Suspect
)

// Member is one agent as last known. It is immutable.
type Member struct {
	// Report is the sum of the agent's reports, as a full one.
	Report wire.AgentReport
	State  State
}

// Schedulable says whether the member may be given new work.
func (m *Member) Schedulable() bool { return !m.Report.Draining }

func (m *Member) with(change func(*Member)) *Member {
	next := *m
	change(&next)
	return &next
}
