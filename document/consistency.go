package document

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/document/schema"
)

// checkConsistency validates the rules that involve several keys.
func checkConsistency(d *Document, result *schema.Result) {
	checkUniqueNames(result, "account", len(d.Accounts), func(i int) string { return d.Accounts[i].Name })
	checkUniqueNames(result, "class", len(d.Classes), func(i int) string { return d.Classes[i].Name })
	for i := range d.Classes {
		checkClass(&d.Classes[i], fmt.Sprintf("class[%d]", i), result)
	}
	checkLossMargin(d, result)
	checkTotals(d, result)
	if d.Topology != nil {
		zones := d.Topology.Zones
		checkUniqueNames(result, "topology.zone", len(zones), func(i int) string { return zones[i].Name })
		checkShapeSizes(d, result)
	}
}

// checkUniqueNames reports names that are used more than once in an array of tables.
func checkUniqueNames(result *schema.Result, table string, count int, name func(int) string) {
	first := map[string]int{}
	for i := range count {
		if name(i) == "" {
			continue
		}
		if j, ok := first[name(i)]; ok {
			result.AddProblem(fmt.Sprintf("%s[%d].name", table, i), "%q is the name of %s[%d] already", name(i), table, j)
			continue
		}
		first[name(i)] = i
	}
}

func checkClass(c *Class, path string, result *schema.Result) {
	if !c.Repeatable && c.Retries > 0 {
		result.AddProblem(path+".retries", "got %d, want 0: the class is not repeatable and runs at most once", c.Retries)
	}
	if c.Kind == Quick {
		checkQuickClass(path, result)
		return
	}
	if c.Kind != Job {
		return // the invalid kind is already reported
	}
	// A borrowing job is evicted when the guarantee is claimed. Work that can neither
	// be resumed nor repeated would be lost.
	if c.MayBorrow && !c.Checkpointable && !c.Repeatable {
		result.AddProblem(path+".may_borrow", "got true, want false: the class is neither checkpointable nor repeatable, so it cannot be evicted")
	}
	if c.MaxRun.Duration > c.Deadline.Duration {
		result.AddProblem(path+".max_run", "got %s, want at most the deadline of %s", c.MaxRun, c.Deadline)
	}
}

// checkQuickClass rejects keys that apply to jobs only.
func checkQuickClass(path string, result *schema.Result) {
	for _, key := range []string{"priority", "urgent", "checkpointable", "may_borrow", "max_run"} {
		if result.Index.IsSet(path + "." + key) {
			result.AddProblem(path+"."+key, `only for kind = "job"`)
		}
	}
}

// minLossMargin is the minimum difference between the loss and the isolation timeout: the
// longest time that a task takes to stop (3 s), plus twice the time in which two reports
// of an agent arrive. With less, the members of a gang would never all count as alive.
const minLossMargin = 9 * time.Second

func checkLossMargin(d *Document, result *schema.Result) {
	minimum := d.Gang.IsolationTimeout.Duration + minLossMargin
	if d.Gang.LossTimeout.Duration < minimum {
		result.AddProblem("gang.loss_timeout", "got %s, want at least %s: gang.isolation_timeout and %s more",
			d.Gang.LossTimeout, schema.Duration{Duration: minimum}, schema.Duration{Duration: minLossMargin})
	}
}

// checkShapeSizes rejects shapes larger than any unit of the topology, and sums above its
// total. Whether the shapes fit together is left to PlacementCheck.
func checkShapeSizes(d *Document, result *schema.Result) {
	sum := 0
	for i, a := range d.Accounts {
		for j, g := range a.Guaranteed {
			sum += g.Accelerators * g.Count
			if maximum := d.Topology.largestUnit(g.Adjacent); g.Accelerators > maximum {
				result.AddProblem(guaranteePath(i, j)+".accelerators", "got %d, want at most %d, the largest %s of the topology",
					g.Accelerators, maximum, g.Adjacent)
			}
		}
	}
	if total := d.Topology.TotalAccelerators(); sum > total {
		result.AddProblem("topology", "holds %d accelerators, the guaranteed shapes need %d", total, sum)
	}
}
