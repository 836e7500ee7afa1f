// Package metrics holds the counters and the histograms of one role.
//
// A [Set] belongs to one role of a process, since a trial runs many roles in
// one process. Histograms are kept for each client account and class; the
// number of such pairs is bounded, and pairs beyond it share one named
// [OtherLabel]. All durations are shown in microseconds. Values count from the start
// of the process.
package metrics
