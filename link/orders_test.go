package link_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

const specBytes = 4000

func startOrders(job workload.JobID, n int, spec string) []engine.StartOrder {
	var out []engine.StartOrder
	for i := range n {
		task := workload.TaskID{Job: job, Index: i}
		out = append(out, engine.StartOrder{Run: workload.RunID{Task: task, Number: 1}, Spec: spec, Checkpoint: fmt.Sprint("c", i)})
	}
	return out
}

func TestOrdersKeepSpecs(t *testing.T) {
	c := qt.New(t)
	want := append(startOrders("a", 3, "spec of a"), startOrders("b", 2, "spec of b")...)
	m := link.NewOrders(7, engine.Orders{Worker: "w", Starts: want})
	c.Check(m.Specs, qt.HasLen, 2)
	got, err := m.DecodeStarts()
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, want)
}

// The specification shared by a job's starts must be sent once. Repeated, it can occupy the
// planner's slow link for longer than its lease.
func TestOrdersShareSpecs(t *testing.T) {
	c := qt.New(t)
	const taskCount = 8
	spec := strings.Repeat("x", specBytes)
	raw, err := cbor.Marshal(link.NewOrders(1, engine.Orders{Worker: "w", Starts: startOrders("0123456789abcdef", taskCount, spec)}))
	c.Assert(err, qt.IsNil)
	const maxStartBytes = 64
	c.Check(len(raw) < specBytes+taskCount*maxStartBytes, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
}

func TestStartWithInvalidSpecIndex(t *testing.T) {
	for _, index := range []int{-1, 1} {
		m := &link.Orders{Starts: []link.Start{{SpecIndex: index}}, Specs: []string{"one"}}
		_, err := m.DecodeStarts()
		qt.Check(t, err, qt.IsNotNil)
	}
}
