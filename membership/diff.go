package membership

import (
	"slices"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// diff returns the groups in which two full reports differ.
func diff(a, b wire.AgentReport) wire.FieldGroups {
	var groups wire.FieldGroups
	addUnlessEqual := func(equal bool, group wire.FieldGroups) {
		if !equal {
			groups |= group
		}
	}
	addUnlessEqual(locationOf(a) == locationOf(b), wire.ChangedLocation)
	addUnlessEqual(capacityOf(a) == capacityOf(b), wire.ChangedCapacity)
	addUnlessEqual(a.Draining == b.Draining, wire.ChangedDraining)
	addUnlessEqual(a.Load == b.Load, wire.ChangedLoad)
	addUnlessEqual(a.FencingEpoch == b.FencingEpoch && sameTasks(a.Tasks, b.Tasks), wire.ChangedTasks)
	addUnlessEqual(slices.Equal(a.Generations, b.Generations), wire.ChangedGenerations)
	return groups
}

func locationOf(r wire.AgentReport) [5]string {
	return [5]string{r.Service, r.Region, r.Zone, r.Rack, r.Address}
}

func capacityOf(r wire.AgentReport) [5]int {
	return [5]int{r.Accelerators, r.Slots, r.Connections, r.Cores, r.MemoryMB}
}

// sameTasks compares task lists without regard to order.
func sameTasks(a, b []gang.Task) bool {
	if len(a) != len(b) {
		return false
	}
	byID := make(map[gang.ID]gang.Task, len(a))
	for _, t := range a {
		byID[t.ID] = t
	}
	for _, t := range b {
		if old, ok := byID[t.ID]; !ok || !old.Equal(t) {
			return false
		}
	}
	return true
}
