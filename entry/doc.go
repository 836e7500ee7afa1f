// Package entry is the process that callers reach through the platform's
// balancer. Every entry can do every entry's work: it keeps soft state only, and
// whatever has to outlast it is in the platform's store or at the agents.
//
// A quick request is routed to an agent by what the entry has measured of the
// targets. A job is made durable in the store and answered; the entry that holds
// the planner duty of the scheduling domain starts it.
package entry
