package link

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Orders is sent by the planner to a node agent, which carries out the orders concurrently.
type Orders struct {
	Epoch  uint64           `cbor:"1,keyasint"`
	Worker engine.WorkerID  `cbor:"2,keyasint"`
	Stops  []workload.RunID `cbor:"4,keyasint,omitempty"`
	// Paces are carried out after the starts.
	Paces  []engine.PaceOrder `cbor:"5,keyasint,omitempty"`
	Starts []Start            `cbor:"6,keyasint,omitempty"`
	// Specs holds each distinct specification of the starts once. All tasks of a job have the same
	// one of up to four kilobytes, and a worker may start many of them at a time.
	Specs []string `cbor:"7,keyasint,omitempty"`
	// CordonsRevision is the store revision up to which the planner knew the cordons when it
	// decided on the starts. An agent that knows of a later cordon refuses the starts.
	CordonsRevision int64 `cbor:"8,keyasint,omitempty"`
	// AgentProcess and GrantedAt identify the report that was last answered with a lease when the
	// planner decided on the starts: the process that built it, and when, on the agent's clock. The
	// planner takes the starts for lost once that lease has expired, so an agent refuses them then.
	// AgentProcess is 0 if the report was not numbered.
	AgentProcess uint64        `cbor:"9,keyasint,omitempty"`
	GrantedAt    time.Duration `cbor:"10,keyasint,omitempty"`
	// DecidedAfter is the least time from GrantedAt until the starts were decided; 0 if it is not known. An
	// agent refuses starts that are too old, so that the planner need not wait long for an order that gets
	// no answer.
	DecidedAfter time.Duration `cbor:"11,keyasint,omitempty"`
}

// Start is the order to start a run.
type Start struct {
	Run        workload.RunID `cbor:"1,keyasint"`
	SpecIndex  int            `cbor:"2,keyasint,omitempty"` // index in Orders.Specs
	Checkpoint string         `cbor:"3,keyasint,omitempty"`
	Ticket     string         `cbor:"4,keyasint,omitempty"` // issued by the advice service
}

// NewOrders returns the message for orders given under an epoch.
func NewOrders(epoch uint64, o engine.Orders) *Orders {
	m := &Orders{
		Epoch: epoch, Worker: o.Worker, Stops: o.Stops, Paces: o.Paces, CordonsRevision: o.CordonsRevision,
		AgentProcess: o.Grant.Process, GrantedAt: o.Grant.BuiltAt, DecidedAfter: o.DecidedAfter,
	}
	specIndexes := map[string]int{}
	for _, s := range o.Starts {
		index, sent := specIndexes[s.Spec]
		if !sent {
			index = len(m.Specs)
			specIndexes[s.Spec] = index
			m.Specs = append(m.Specs, s.Spec)
		}
		m.Starts = append(m.Starts, Start{Run: s.Run, SpecIndex: index, Checkpoint: s.Checkpoint, Ticket: s.Ticket})
	}
	return m
}

// DecodeStarts returns the starts with their specifications. It fails if one has an invalid
// SpecIndex.
func (m *Orders) DecodeStarts() ([]engine.StartOrder, error) {
	out := make([]engine.StartOrder, 0, len(m.Starts))
	for _, s := range m.Starts {
		if s.SpecIndex < 0 || s.SpecIndex >= len(m.Specs) {
			return nil, eris.Errorf("start of %s: specification index %d is out of range, the message has %d", s.Run.Task, s.SpecIndex, len(m.Specs))
		}
		out = append(out, engine.StartOrder{Run: s.Run, Spec: m.Specs[s.SpecIndex], Checkpoint: s.Checkpoint, Ticket: s.Ticket})
	}
	return out, nil
}

// OrdersReply answers Orders.
type OrdersReply struct {
	Starts []engine.StartResult `cbor:"1,keyasint,omitempty"`
	Paces  []engine.PaceResult  `cbor:"2,keyasint,omitempty"`
}
