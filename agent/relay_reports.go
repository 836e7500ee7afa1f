package agent

import (
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// errReportAgeUnknown: this process stood still, so a report may have waited here for long.
var errReportAgeUnknown = wire.NotHandled(eris.New("the age of the report is not known"))

// handleMemberReport answers the report of another agent of the rack, whose relay this one is.
func (r *reporter) handleMemberReport(from *wire.Conn, m *wire.Report) (any, error) {
	if len(m.Reports) != 1 || m.Reports[0].ID != from.Peer().ID {
		return nil, errNotHandled // nobody relays relayed reports
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
	r.offerDocuments(from, m.Reports[0].ID)
	return ack, nil
}

// memberCount returns how many agents report by this one.
func (r *reporter) memberCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.router == nil {
		return 0
	}
	return len(r.router.Members())
}
