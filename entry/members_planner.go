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

// informPlanner passes a member's report to the planner, if it runs here, and adds the
// planner's part to the ack. The ack of a relayed report has no such part: an agent with
// a task of several members also reports directly.
func (m *members) informPlanner(member *membership.Member, r wire.AgentReport, receivedAt time.Time, ack *wire.ReportAck, relayed bool) {
	if r.Departed || member.Report.Incarnation != r.Incarnation {
		return
	}
	p := m.entry.elections.planner(member.Report.Service)
	if p == nil {
		return
	}
	p.HandleReport(plannerReport(member, timestampFor(member, &r), receivedAt.Add(-r.Age)))
	if relayed {
		return
	}
	renewed, timestamp := p.ReportAnswer(r.ID)
	ack.RenewedAttempts = append(ack.RenewedAttempts, renewed...)
	ack.PlannerTimestamp = timestamp
}

// timestampFor returns the planner's timestamp of a member's tasks. The timestamp of a
// report that is older than the member's state, or that could not be applied, says nothing
// of them.
func timestampFor(member *membership.Member, r *wire.AgentReport) gang.PlannerTimestamp {
	if r.Sequence != member.Report.Sequence {
		return wire.InvalidPlannerTimestamp
	}
	return r.PlannerTimestamp
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
		Sequence:    r.Sequence,
		Draining:    r.Draining,
		Fence:       r.FencingEpoch,
		Timestamp:   timestamp,
		Tasks:       r.Tasks,
		ReceivedAt:  receivedAt,
	}
}

// replayReports passes the last reports of all known agents to a new planner, with the times
// of the last contacts. They carry no evidence that a gang's members are alive; only new
// reports do.
func (m *members) replayReports(service string, p *planner.Planner) {
	for _, member := range m.table.Snapshot().Service(service).Members {
		silence, ok := m.silenceOf(member.Report.ID)
		if !ok {
			continue // lost or left meanwhile
		}
		p.HandleReport(plannerReport(member, wire.InvalidPlannerTimestamp, clock.Now().Add(-silence)))
	}
}

// silenceOf returns the time since the last contact with a member.
func (m *members) silenceOf(id string) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.table.LastContact(id)
	return time.Since(at), ok
}
