// Package records keeps jobs of steps in the platform's store.
//
//	workloads/in/job/ID     what the caller handed in; created once, by any gateway
//	workloads/in/cancel/ID  the caller's cancellation; created once, by any gateway
//	workloads/run/ID        what became of it; written by the planner alone
//	workloads/worker/ID     a worker that may hold runs; written by the planner alone
//	workloads/ended/ID      the outcome of a job, in the place of its other records;
//	                        written by the planner alone
//
// A name is taken by in/job/ID or by ended/ID, never by neither once it was accepted until
// the outcome is removed, so a submission that is repeated late finds the first.
//
// The planner writes under the condition that the epoch key of its duty is as it was
// when it took the duty, so nothing of a former planner can take effect after its
// successor has read the records.
package records
