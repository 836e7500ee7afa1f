package entry

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/planner"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// informPlanner tells the planner, if it is here, of a report of the member, and adds
// its part to the answer. What a relay would hear of the gangs of its members is
// left out: they ask themselves.
func (m *members) informPlanner(member *membership.Member, r wire.AgentReport, receivedAt time.Time, ack *wire.ReportAck, relayed bool) {
	if r.Goodbye || member.Report.Incarnation != r.Incarnation {
		return
	}
	p := m.entry.elections.planner(member.Report.Service)
	if p == nil {
		return
	}
	p.HandleReport(plannerReport(member, r.Stamp, receivedAt.Add(-r.Age)))
	if relayed {
		return
	}
	renewed, timestamp := p.ReportAnswer(r.ID)
	ack.Whole = append(ack.Whole, renewed...)
	ack.Stamp = timestamp
}

func plannerReport(member *membership.Member, timestamp gang.PlannerTimestamp, receivedAt time.Time) planner.AgentReport {
	r := &member.Report
	return planner.AgentReport{
		Worker: scheduler.Worker{
			ID:           scheduler.WorkerID(r.ID),
			Zone:         r.Zone,
			Rack:         r.Rack,
			Accelerators: r.Accelerators,
			Cores:        r.Cores,
			MemoryMB:     r.MemoryMB,
		},
		Incarnation: r.Incarnation,
		Draining:    r.Draining,
		Fence:       r.Fence,
		Timestamp:   timestamp,
		Tasks:       r.Tasks,
		ReceivedAt:  receivedAt,
	}
}

// replayReports tells a new planner of all agents known. What they last said is as old
// as it is: only their own next reports prove that their gangs are whole.
func (m *members) replayReports(service string, p *planner.Planner) {
	for _, member := range m.table.Snapshot().Service(service).Members {
		p.HandleReport(plannerReport(member, wire.NoEvidence, clock.Now()))
	}
}
