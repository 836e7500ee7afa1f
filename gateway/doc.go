// Package gateway is the process that callers reach: it takes jobs, cancellations and
// questions, and one gateway at a time also plans for all.
//
// Every gateway can do every gateway's work. What must last is in the store
// (package records); a gateway that the store turns away works through a peer. The
// planner is the holder of a duty under a lease of the store; its decisions are made by
// package engine, and node agents carry them out.
package gateway
