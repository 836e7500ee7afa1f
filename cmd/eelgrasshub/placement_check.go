package main

import (
	"errors"
	"fmt"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/planner"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// checkPlacement implements document.PlacementCheck with the scheduler's placement.
func checkPlacement(t *document.Topology, accounts []document.Account) []document.PlacementProblem {
	policy := scheduler.Policy{Generation: 1}
	for _, a := range accounts {
		policy.Accounts = append(policy.Accounts, planner.AccountPolicy(a))
	}
	err := scheduler.CheckPolicy(policy, idleWorkers(t))
	if err == nil {
		return nil
	}
	return []document.PlacementProblem{placementProblem(err, policy)}
}

// idleWorkers returns the workers of the topology, without any work on them.
func idleWorkers(t *document.Topology) []scheduler.Worker {
	var workers []scheduler.Worker
	for _, zone := range t.Zones {
		for rack, count := range zone.Racks {
			for i := range count {
				workers = append(workers, scheduler.Worker{
					ID:           scheduler.WorkerID(fmt.Sprintf("%s-%d-%d", zone.Name, rack, i)),
					Zone:         zone.Name,
					Rack:         fmt.Sprintf("%s-%d", zone.Name, rack),
					Accelerators: t.Accelerators,
				})
			}
		}
	}
	return workers
}

// placementProblem returns the problem of the guaranteed shape that the error names.
func placementProblem(err error, p scheduler.Policy) document.PlacementProblem {
	problem := document.PlacementProblem{Reason: err.Error()}
	var shapeErr *scheduler.ShapeError
	if !errors.As(err, &shapeErr) {
		return problem
	}
	for i, a := range p.Accounts {
		if a.ID != shapeErr.Account {
			continue
		}
		problem.Account = i
		for j, g := range a.Guaranteed {
			if g == shapeErr.Shape {
				problem.Guarantee = j
			}
		}
	}
	return problem
}
