package agent

import (
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// errReportAgeUnknown rejects a report that may have waited while this process was
// suspended, so that its age is unknown.
var errReportAgeUnknown = wire.NotHandled(eris.New("the age of the report is not known"))

// handleMemberReport answers the report of another agent that uses this one as its
// relay.
func (r *reporter) handleMemberReport(from *wire.Conn, m *wire.Report) (any, error) {
	if len(m.Reports) != 1 || m.Reports[0].ID != from.Peer().ID {
		return nil, errNotHandled // a relay accepts only an agent's own report
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.router == nil {
		return nil, errReportAgeUnknown
	}
	ack, urgent := r.router.HandleMemberReport(clock.Now(), m)
	if ack == nil {
		return nil, errReportAgeUnknown
	}
	if urgent {
		r.wakeAll()
	}
	r.sendMissingDocument(from, m.Reports[0].ID)
	return ack, nil
}

// memberCount returns the number of agents that report through this one.
func (r *reporter) memberCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.router == nil {
		return 0
	}
	return len(r.router.Members())
}
