// Package nodeagent implements the process that runs beside each worker. It carries out the
// planner's orders, renews the worker's lease as far as the planner's last reply allows, and
// reports running and ended runs. It holds no state that a successor needs: the worker itself
// keeps its runs, its fence and its unacknowledged ends.
//
// An agent that is cut off from the planner renews nothing, so the worker's lease expires
// before the planner considers its runs ended.
package nodeagent
