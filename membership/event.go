package membership

import "github.com/eelgrasshub/eelgrasshub/wire"

// Event is what Table.Step takes: Reports, Draining or Tick.
type Event interface{ event() }

// Reports is a batch of reports as it arrived. Relayed says that an entry sent
// it on; such a batch is not relayed again. A batch from the agents themselves
// or from an aggregator is direct.
type Reports struct {
	Batch   []wire.AgentReport
	Relayed bool
}

// Draining is the news, by another way than a report, that an incarnation of
// an agent takes no new work.
type Draining struct {
	ID          string
	Incarnation uint64
}

// Tick lets time pass. Send one about every second.
type Tick struct{}

func (Reports) event()  {}
func (Draining) event() {}
func (Tick) event()     {}
