// Package routing chooses the target of each request at an entry.
//
// A Router holds one endpoint for each target that membership knows: the
// requests this entry has in flight there, an adaptive concurrency window, the
// measured latency, and the load that the target's agent reported with its last
// reply. Pick compares a few endpoints and takes the one with the least
// expected completion time; Done feeds the outcome of the attempt back.
//
// The package is pure: time is an argument and randomness comes from a seed.
// It starts no goroutine and does no input or output. Pick, Done, Retry,
// Suspect, Heard, RetryAfter and Stats
// may be called concurrently. Pick takes no lock; it
// reads a table that SetTargets replaces as a whole, and atomics. SetTargets
// belongs to one goroutine.
package routing
