package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// TestMeasureMembershipTable measures the memory of the membership table and its processor time
// for a report that changes the load, with snapshots published at once and with an interval.
func TestMeasureMembershipTable(t *testing.T) {
	c := requireMeasure(t)
	for range 3 {
		for _, n := range []int{180, 900, 3400, 17000} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				usageBefore := ReadUsage()
				table := membership.NewTable(membership.Config{JoinBurst: 1e6, PublishInterval: pause})
				now := time.Unix(1e9, 0)
				reports := make([]wire.AgentReport, n)
				for i := range reports {
					reports[i] = wire.AgentReport{
						ID: fmt.Sprintf("agent-%05d", i), Incarnation: 1, Sequence: 1, Full: true, Service: "service", Region: "r", Zone: "z", Rack: "r1",
						Address: "10.20.30.40:7400", Accelerators: 8, Slots: 8, Connections: 64, Cores: 32, MemoryMB: 65536,
					}
				}
				table.Step(now, membership.Reports{Batch: reports})
				usageAfter := ReadUsage()
				const rounds = 2000
				processorBefore := ProcessorTime()
				for i := range rounds {
					r := &reports[i%n]
					r.Sequence++
					now = now.Add(10 * time.Second / time.Duration(n))
					table.Step(now, membership.Reports{Batch: []wire.AgentReport{{ID: r.ID, Incarnation: 1, Sequence: r.Sequence, BaseSequence: r.Sequence - 1, Changed: wire.ChangedLoad, Load: wire.Load{Queued: i}}}})
				}
				c.Logf("%d members, snapshot pause %v: %.1f us a report, heap %.2f KB a member | load %s", n, pause,
					float64((ProcessorTime()-processorBefore).Microseconds())/rounds, (float64(usageAfter.Heap)-float64(usageBefore.Heap))/1024/float64(n), loadAverage())
			}
		}
	}
}
