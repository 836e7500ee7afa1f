package membership

import (
	"slices"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// apply returns the full report that results from a report, and the groups that it
// sets. A full report replaces base; a delta replaces its groups.
func apply(base, r wire.AgentReport) (wire.AgentReport, wire.FieldGroups) {
	next := base
	groups := r.Changed
	if r.Full {
		groups = wire.ChangedAll
		next.Tasks = nil
	}
	if groups&wire.ChangedLocation != 0 {
		copyLocation(&next, r)
	}
	if groups&wire.ChangedCapacity != 0 {
		copyCapacity(&next, r)
	}
	if groups&wire.ChangedDraining != 0 {
		next.Draining = base.Draining || r.Draining
	}
	if groups&wire.ChangedLoad != 0 {
		next.Load = r.Load
	}
	if groups&wire.ChangedTasks != 0 {
		next.Tasks = mergeTasks(next.Tasks, r)
		next.FencingEpoch = r.FencingEpoch
	}
	if groups&wire.ChangedGenerations != 0 {
		next.Generations = r.Generations
	}
	next.ID = r.ID
	next.Incarnation = r.Incarnation
	next.Sequence = r.Sequence
	next.Full = true
	return next, groups
}

func copyLocation(to *wire.AgentReport, r wire.AgentReport) {
	to.Service = r.Service
	to.Region = r.Region
	to.Zone = r.Zone
	to.Rack = r.Rack
	to.Address = r.Address
	to.CanRelay = r.CanRelay
}

func copyCapacity(to *wire.AgentReport, r wire.AgentReport) {
	to.Accelerators = r.Accelerators
	to.Slots = r.Slots
	to.Connections = r.Connections
	to.Cores = r.Cores
	to.MemoryMB = r.MemoryMB
}

// mergeTasks returns old without r's ended tasks and with r's tasks put in. It does not
// modify old, which is part of a snapshot.
func mergeTasks(old []gang.Task, r wire.AgentReport) []gang.Task {
	replaced := make(map[gang.ID]bool, len(r.Tasks)+len(r.RemovedTasks))
	for _, t := range r.Tasks {
		replaced[t.ID] = true
	}
	for _, id := range r.RemovedTasks {
		replaced[id] = true
	}
	next := make([]gang.Task, 0, len(old)+len(r.Tasks))
	for _, t := range old {
		if !replaced[t.ID] {
			next = append(next, t)
		}
	}
	next = append(next, r.Tasks...)
	slices.SortFunc(next, compareTasks)
	return next
}
