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

// observe tells the planner, if it is here, of a report of the member, and adds
// its part to the answer. What a relay would hear of the gangs of its members is
// left out: they ask themselves.
func (m *members) observe(member *membership.Member, r wire.AgentReport, now time.Time, ack *wire.ReportAck, relayed bool) {
	if r.Departed || member.Report.Incarnation != r.Incarnation {
		return
	}
	p := m.e.duties.planner(member.Report.Service)
	if p == nil {
		return
	}
	p.HandleReport(seen(member, r.PlannerTimestamp, now.Add(-r.Age)))
	if relayed {
		return
	}
	whole, stamp := p.ReportAnswer(r.ID)
	ack.RenewedAttempts = append(ack.RenewedAttempts, whole...)
	ack.PlannerTimestamp = stamp
}

func seen(member *membership.Member, stamp gang.PlannerTimestamp, at time.Time) planner.AgentReport {
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
		Fence:       r.FencingEpoch,
		Timestamp:   stamp,
		Tasks:       r.Tasks,
		ReceivedAt:  at,
	}
}

// replay tells a new planner of all agents known. What they last said is as old
// as it is: only their own next reports prove that their gangs are whole.
func (m *members) replay(service string, p *planner.Planner) {
	for _, member := range m.table.Snapshot().Service(service).Members {
		p.HandleReport(seen(member, wire.InvalidPlannerTimestamp, clock.Now()))
	}
}
