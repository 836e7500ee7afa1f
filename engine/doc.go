// Package engine decides where and when the tasks of accepted jobs run. It contains the
// planner's logic without network, clock or log: Step and Report take the time and an
// input, Decide returns the resulting actions. An Engine is owned by one goroutine.
//
// # Guarantees
//
//   - A worker is never given more than its capacity. A run holds its capacity from the
//     decision until it is certain that it is over: its end was reported, its start was
//     refused, its stop was confirmed by a later poll, or the worker's lease expired.
//   - A task has at most one run at a time, for the same reasons.
//   - A placement is stored before its first order is sent, so that a successor knows what
//     each worker may hold. An end is stored before the worker may forget it.
//   - A job is failed if workers crash repeatedly under one of its tasks; see crash.go.
//   - A gang is ordered on all its workers at the same time. If a member is lost, the others
//     are stopped before the gang starts again.
//
// Times are durations on a clock that includes time spent in suspension.
package engine
