// Package load makes the load of a workload file against entries and audits
// what callers were told against what truly ran.
//
// The load is an open loop: each arrival has a scheduled time that doesn't
// depend on earlier answers, and times are measured from it, so that a system
// that stalls can't hide the arrivals it kept waiting (coordinated omission).
// The schedule follows from the plan and its seed alone. [Audit] is pure.
package load
