// Package records keeps jobs and workers in the platform's store.
//
//	workloads/in/job/ID     a submitted job; created once, by any gateway
//	workloads/in/cancel/ID  a cancellation; created once, by any gateway
//	workloads/run/ID        the progress of a job; written by the planner only
//	workloads/worker/ID     a worker that may hold runs; written by the planner only
//	workloads/ended/ID      the outcome of a job, which replaces its other records;
//	                        written by the planner only
//
// From its acceptance until its outcome is removed, a job always has either in/job/ID or
// ended/ID, so a delayed duplicate of a submission finds the first.
//
// All writes of the planner are conditional on the epoch key of its lease being unchanged since
// it acquired the lease. No write of a former planner can take effect after its successor has
// read the records.
package records
