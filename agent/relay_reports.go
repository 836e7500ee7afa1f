package agent

import (
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// errPaused: this process stood still, so a report may have waited here for long.
var errPaused = wire.NotHandled(eris.New("the age of the report is not known"))

// serve answers the report of another agent of the rack, whose relay this one is.
func (r *reports) serve(from *wire.Conn, m *wire.Report) (any, error) {
	if len(m.Reports) != 1 || m.Reports[0].ID != from.Peer().ID {
		return nil, errNotHandled // nobody relays relayed reports
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announcer == nil {
		return nil, errPaused
	}
	ack, news := r.announcer.HandleMemberReport(clock.Now(), m)
	if ack == nil {
		return nil, errPaused
	}
	if news {
		r.wake()
	}
	r.offerDocuments(from, m.Reports[0].ID)
	return ack, nil
}

// members returns how many agents report by this one.
func (r *reports) members() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announcer == nil {
		return 0
	}
	return len(r.announcer.Members())
}
