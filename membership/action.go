package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Action is what Table.Step returns: a change of a member, or something that
// the sender of the reports has to be told.
type Action interface{ action() }

// Joined: the member is new, or back after it was lost, or restarted (then
// Lost of the older incarnation comes just before).
type Joined struct{ Member *Member }

// Changed: the groups of the member's report changed.
type Changed struct {
	Member *Member
	Groups wire.FieldGroups
}

// Suspected: the member was not heard for SuspectAfter.
type Suspected struct{ Member *Member }

// Recovered: a suspected member was heard again.
type Recovered struct{ Member *Member }

// Lost: the member was not heard for LostAfter, or a later incarnation of it
// showed up. Member is its last known state.
type Lost struct{ Member *Member }

// Left: the member said goodbye.
type Left struct{ Member *Member }

// NeedFull: the agent's delta can't be applied; ask it for a full report.
type NeedFull struct{ ID string }

// Newer: the reporting agent is known at a later incarnation.
type Newer struct {
	ID          string
	Incarnation uint64
}

// Refused: the agent's report was shed.
type Refused struct{ ID string }

// NextReport: when the sender should report again at the earliest.
type NextReport struct{ After time.Duration }

func (Joined) action()     {}
func (Changed) action()    {}
func (Suspected) action()  {}
func (Recovered) action()  {}
func (Lost) action()       {}
func (Left) action()       {}
func (NeedFull) action()   {}
func (Newer) action()      {}
func (Refused) action()    {}
func (NextReport) action() {}

// FillAck puts into ack what actions have to tell the sender of the reports.
func FillAck(ack *wire.ReportAck, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case NeedFull:
			ack.NeedFull = append(ack.NeedFull, a.ID)
		case Newer:
			ack.NewerIncarnations = append(ack.NewerIncarnations, wire.AgentIncarnation{ID: a.ID, Incarnation: a.Incarnation})
		case Refused:
			ack.Refused = append(ack.Refused, a.ID)
		case NextReport:
			ack.NextReportIn = max(ack.NextReportIn, a.After)
		}
	}
}
