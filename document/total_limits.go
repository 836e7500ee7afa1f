package document

import "github.com/eelgrasshub/eelgrasshub/document/schema"

const (
	// MaxGuaranteedBlocks is the maximum number of guaranteed shapes of all accounts,
	// counted by Count.
	MaxGuaranteedBlocks = 65_536
	// MaxWorkers is the maximum number of workers in a topology.
	MaxWorkers = 131_072
)

// checkTotals rejects documents whose values are each within range but together need more
// memory than a process has. The planner allocates memory for each guaranteed shape, so
// such a document would crash the planner and every entry that takes over from it.
func checkTotals(d *Document, result *schema.Result) {
	blocks := 0
	for _, a := range d.Accounts {
		for _, g := range a.Guaranteed {
			blocks += g.Count
		}
	}
	if blocks > MaxGuaranteedBlocks {
		result.AddProblem("account", "%d guaranteed shapes in all, counted by count, want at most %d", blocks, MaxGuaranteedBlocks)
	}
	if d.Topology == nil {
		return
	}
	workers := 0
	for _, z := range d.Topology.Zones {
		workers += z.WorkerCount()
	}
	if workers > MaxWorkers {
		result.AddProblem("topology", "%d workers, want at most %d", workers, MaxWorkers)
	}
}
