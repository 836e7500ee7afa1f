// Package engine decides where and when the tasks of accepted jobs run. It is the
// planner's part without network, clock or log: Step takes the time and an event and
// returns actions; one goroutine owns an Engine.
//
// # What it guarantees
//
//   - A worker is never given more than it has. A run takes its room from the decision
//     on until it is certain that it is over: its end was listed, its start was refused,
//     its stop was confirmed by a later look, or the worker's lease lapsed.
//   - A task has at most one run at a time, for the same reasons.
//   - A placement is on record before its first order leaves, so that a successor knows
//     which worker may hold what. An end is on record before the worker may forget it.
//   - A task under which workers crash again and again is given up, see crash.go.
//   - A gang is ordered on all its workers at once; when one member is lost the rest
//     are stopped before it starts again.
//
// Times are durations on a clock that runs during suspension.
package engine
