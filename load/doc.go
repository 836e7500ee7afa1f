// Package load generates the requests and jobs of a workload file against entries, and audits
// what callers were told against what ran on the workers.
//
// The load is open-loop: the time of each arrival is scheduled independently of earlier
// answers, and latencies count from the scheduled time, so that a stalled system cannot hide
// the arrivals that it delays (coordinated omission). The schedule depends only on the plan,
// which includes the random seed. [Audit] is a pure function.
package load
