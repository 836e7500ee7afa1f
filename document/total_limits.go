package document

import "github.com/eelgrasshub/eelgrasshub/document/schema"

const (
	// MaxGuaranteedBlocks is how many guaranteed blocks all accounts may have together: more
	// than there are accelerators at the size that the system is designed for.
	MaxGuaranteedBlocks = 65_536
	// MaxWorkers is how many workers a topology may have, several times that size.
	MaxWorkers = 131_072
)

// checkTotals refuses documents whose numbers are each within range and together
// ask for more memory than a process has.
//
// The failure this guards against: a document of half a megabyte declares tens of
// millions of blocks. It is accepted, since without a topology no sum is checked; the
// planner makes each block, is killed for its memory, and so is every entry that
// takes the duty over.
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
