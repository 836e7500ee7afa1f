package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Action is returned by Table.Step: a change of a member, or information for the sender
// of the reports.
type Action interface{ action() }

// Joined: the member is new, returned after it was lost, or restarted. After a restart,
// Lost of the older incarnation comes just before.
type Joined struct{ Member *Member }

// Changed: the given groups of the member's report changed.
type Changed struct {
	Member *Member
	Groups wire.FieldGroups
}

// Suspected: there was no contact with the member for SuspectAfter.
type Suspected struct{ Member *Member }

// Recovered: there was contact with a suspected member again.
type Recovered struct{ Member *Member }

// Lost: there was no contact with the member for LostAfter, or a later incarnation of
// it was reported. Member is its last known state.
type Lost struct{ Member *Member }

// Left: the member sent a departure notice.
type Left struct{ Member *Member }

// NeedFull: the agent's delta can't be applied; the agent must send a full report.
type NeedFull struct{ ID string }

// Newer: a later incarnation of the reporting agent is known. The reporting one is a process
// that still runs under the same ID if the later one has been known for longer than
// MaxReportDelay; otherwise the report may be left over from before a restart.
type Newer struct {
	ID          string
	Incarnation uint64
	KnownFor    time.Duration
}

// MaxReportDelay is how late a report may be handled in practice. An agent waits a second
// for its answer; the rest is for paused processes.
const MaxReportDelay = 5 * time.Second

// Refused: the agent's report was dropped because of a limit on new members.
type Refused struct{ ID string }

// NextReport: the sender should report again no sooner than After, except for changes that
// can't wait, such as draining.
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

// FillAck copies into ack the actions that concern the sender of the reports.
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
