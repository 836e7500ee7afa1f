package nodeagent

import (
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// speedMemory keeps what planners have learned of the speed of the worker, so that a new planner
// and the next incarnation need not learn it again. The agent's mutex guards it.
type speedMemory struct {
	record *engine.SpeedRecord
	// knownTo is the epoch of the planner that has the record, and knownFor the incarnation for
	// which it was sent.
	knownTo  uint64
	knownFor engine.WorkerID
}

// forReport returns the record for a report to the planner of an epoch about an incarnation, nil if
// the planner has it.
func (m *speedMemory) forReport(epoch uint64, worker engine.WorkerID) *engine.SpeedRecord {
	if m.knownTo == epoch && m.knownFor == worker {
		return nil
	}
	return m.record
}

// handleReply processes the reply to a report. Only a planner that had answered before the report
// was built has certainly taken the record into account.
func (m *speedMemory) handleReply(r engine.Report, reply *link.ReportReply) {
	if r.Origin.Epoch == reply.Epoch {
		m.knownTo, m.knownFor = reply.Epoch, r.Worker.ID
	}
	if reply.Speed != nil {
		m.record = reply.Speed
	}
}
