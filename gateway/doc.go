// Package gateway implements the process that serves client calls: it accepts jobs and
// cancellations, answers lookups, and one gateway at a time is the planner.
//
// Any gateway can serve any call. Durable state is kept in the store (package records); a
// gateway that cannot reach the store works through a peer. The planner holds a lease in the
// store. Package engine makes its decisions, and node agents carry them out.
package gateway
