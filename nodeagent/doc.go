// Package nodeagent is the process beside a worker. It carries out the planner's
// orders, renews the worker's lease as far as the planner's last answer reaches, and
// reports what runs and what has ended. It holds nothing that a successor needs: the
// worker itself keeps its runs, its fence and its unacknowledged ends.
//
// An agent that is cut off from the planner renews nothing, so the worker's lease
// lapses by the time at which the planner counts its runs as over.
package nodeagent
