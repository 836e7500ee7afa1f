package membership

import "github.com/eelgrasshub/eelgrasshub/wire"

// Event is an input of Table.Step: Reports, Draining or Tick.
type Event interface{ event() }

// Reports is a batch of reports. Relayed is set if an entry forwarded the batch; it is
// not forwarded again. A batch from agents or from the relay of a rack is direct.
type Reports struct {
	Batch   []wire.AgentReport
	Relayed bool
}

// Draining tells, independently of reports, that an incarnation of an agent takes no
// new work.
type Draining struct {
	ID          string
	Incarnation uint64
}

// Tick advances time. Send one about every second.
type Tick struct{}

func (Reports) event()  {}
func (Draining) event() {}
func (Tick) event()     {}
