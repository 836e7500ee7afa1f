package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// BenchmarkPlannerHandlesPeerQuery measures what one query of a gateway costs the planner, without
// the network.
func BenchmarkPlannerHandlesPeerQuery(b *testing.B) {
	for _, n := range fleetSizes[1:] {
		b.Run(fmt.Sprint("gateways=", n), func(b *testing.B) {
			p := newPeering("planner", nil, lease.BootTime, func() uint64 { return 1 })
			p.learnPlanner(1, "planner")
			queries := make([]*link.PeerQuery, n)
			for i := range queries {
				queries[i] = &link.PeerQuery{Address: nodeName(i), Epoch: 1, Planner: "planner", PlanningCapacity: 0.8}
				p.mergeQuery(queries[i])
			}
			p.rankSuccessors()
			for i := 0; b.Loop(); i++ {
				p.mergeQuery(queries[i%n])
				p.reply(true)
			}
		})
	}
}

// BenchmarkRankSuccessors measures what the planner does once a peerInterval.
func BenchmarkRankSuccessors(b *testing.B) {
	for _, n := range fleetSizes[1:] {
		b.Run(fmt.Sprint("gateways=", n), func(b *testing.B) {
			p := newPeering("planner", nil, func() time.Duration { return time.Minute }, func() uint64 { return 1 })
			for i := range n {
				p.mergeQuery(&link.PeerQuery{Address: nodeName(i), PlanningCapacity: float64(i % 7)})
			}
			for b.Loop() {
				p.rankSuccessors()
			}
		})
	}
}
