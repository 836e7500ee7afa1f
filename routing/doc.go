// Package routing chooses the target of each request at an entry.
//
// A Router holds one endpoint for each target that membership knows: the
// attempts that this entry has in flight there, an adaptive concurrency window,
// the measured latency, and the load that the target's agent reported with its
// last reply. Pick compares a few endpoints and takes the one with the lowest
// expected completion time. Done records the outcome of the attempt.
//
// The package starts no goroutine and does no I/O. Time is an argument, and
// random choices depend only on Options.Seed.
//
// All methods of a Router may be called concurrently, except that SetTargets
// belongs to one goroutine. Pick takes no lock: it reads atomics and a set of
// endpoints that SetTargets replaces as a whole.
package routing
