package membership

import (
	"slices"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// diff returns the groups in which two full reports differ.
func diff(a, b wire.AgentReport) wire.FieldGroups {
	var groups wire.FieldGroups
	add := func(same bool, group wire.FieldGroups) {
		if !same {
			groups |= group
		}
	}
	add(place(a) == place(b), wire.ChangedLocation)
	add(size(a) == size(b), wire.ChangedCapacity)
	add(a.Draining == b.Draining, wire.ChangedDraining)
	add(a.Load == b.Load, wire.ChangedLoad)
	add(a.FencingEpoch == b.FencingEpoch && sameTasks(a.Tasks, b.Tasks), wire.ChangedTasks)
	add(slices.Equal(a.Generations, b.Generations), wire.ChangedGenerations)
	return groups
}

func place(r wire.AgentReport) [5]string {
	return [5]string{r.Service, r.Region, r.Zone, r.Rack, r.Address}
}

func size(r wire.AgentReport) [5]int {
	return [5]int{r.Accelerators, r.Slots, r.Connections, r.Cores, r.MemoryMB}
}

// sameTasks compares without regard to order.
func sameTasks(a, b []gang.Task) bool {
	if len(a) != len(b) {
		return false
	}
	byKey := make(map[gang.ID]gang.Task, len(a))
	for _, t := range a {
		byKey[t.ID] = t
	}
	for _, t := range b {
		if old, ok := byKey[t.ID]; !ok || !old.Equal(t) {
			return false
		}
	}
	return true
}
