package entry

import "github.com/eelgrasshub/eelgrasshub/scheduler"

// Stats returns the scheduler's summary of a service as of the planner's last
// housekeeping. It returns false if this entry does not lead the service.
func (e *Entry) Stats(service string) (scheduler.Stats, bool) {
	p := e.elections.planner(service)
	if p == nil {
		return scheduler.Stats{}, false
	}
	return p.Stats(), true
}

// Epoch returns the fencing epoch under which this entry leads a service, or 0.
func (e *Entry) Epoch(service string) uint64 {
	for _, l := range e.elections.leaderships() {
		if l.Service == service {
			return l.Epoch
		}
	}
	return 0
}
