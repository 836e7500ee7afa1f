package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// filledTable returns a table with n members, and their reports.
func filledTable(n int) (*Table, []wire.AgentReport) {
	table := NewTable(Config{JoinBurst: 1e6, PublishInterval: 20 * time.Millisecond})
	batch := make([]wire.AgentReport, n)
	for i := range batch {
		batch[i] = fullReport(fmt.Sprintf("dispatch-%05d", i), 1, 1)
	}
	table.Step(startTime, directReports(batch...))
	return table, batch
}

// BenchmarkIngest processes 1,000 reports, each in a batch of its own, at the rate of
// one report per agent every 10 s.
func BenchmarkIngest(b *testing.B) {
	for _, n := range []int{1000, 17000} {
		for _, changed := range []wire.FieldGroups{0, wire.ChangedLoad} {
			b.Run(fmt.Sprintf("agents=%d/changed=%d", n, changed), func(b *testing.B) {
				benchmarkIngest(b, n, changed)
			})
		}
	}
}

func benchmarkIngest(b *testing.B, n int, changed wire.FieldGroups) {
	table, agents := filledTable(n)
	interval := 10 * time.Second / time.Duration(n)
	now, i := startTime, 0
	b.ReportAllocs()
	for b.Loop() {
		for range 1000 {
			r := &agents[i%n]
			i++
			now = now.Add(interval)
			sequence := r.Sequence
			if changed != 0 {
				r.Sequence++
				sequence = r.Sequence - 1
			}
			table.Step(now, directReports(wire.AgentReport{ID: r.ID, Incarnation: 1, Sequence: r.Sequence, BaseSequence: sequence, Changed: changed, Load: wire.Load{Queued: i}}))
		}
	}
}

func BenchmarkJoin(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		filledTable(900)
	}
}

func BenchmarkTick(b *testing.B) {
	table, _ := filledTable(17000)
	for b.Loop() {
		table.Step(startTime.Add(time.Second), Tick{})
	}
}
