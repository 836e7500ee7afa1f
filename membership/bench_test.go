package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// filled returns a table of n agents that are in.
func filled(n int) (*Table, []wire.AgentReport) {
	table := NewTable(Config{JoinBurst: 1e6, PublishInterval: 20 * time.Millisecond})
	batch := make([]wire.AgentReport, n)
	for i := range batch {
		batch[i] = full(fmt.Sprintf("dispatch-%05d", i), 1, 1)
	}
	table.Step(start, direct(batch...))
	return table, batch
}

// BenchmarkIngest is the cost of 1,000 reports, each in a batch of its own,
// at the pace of one report an agent every 10 s.
func BenchmarkIngest(b *testing.B) {
	for _, n := range []int{1000, 17000} {
		for _, news := range []wire.FieldGroups{0, wire.ChangedLoad} {
			b.Run(fmt.Sprintf("agents=%d/changed=%d", n, news), func(b *testing.B) {
				benchmarkIngest(b, n, news)
			})
		}
	}
}

func benchmarkIngest(b *testing.B, n int, news wire.FieldGroups) {
	table, agents := filled(n)
	gap := 10 * time.Second / time.Duration(n)
	now, i := start, 0
	b.ReportAllocs()
	for b.Loop() {
		for range 1000 {
			r := &agents[i%n]
			i++
			now = now.Add(gap)
			sequence := r.Sequence
			if news != 0 {
				r.Sequence++
				sequence = r.Sequence - 1
			}
			table.Step(now, direct(wire.AgentReport{ID: r.ID, Incarnation: 1, Sequence: r.Sequence, BaseSequence: sequence, Changed: news, Load: wire.Load{Queued: i}}))
		}
	}
}

func BenchmarkJoin(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		filled(900)
	}
}

func BenchmarkTick(b *testing.B) {
	table, _ := filled(17000)
	for b.Loop() {
		table.Step(start.Add(time.Second), Tick{})
	}
}
