// Package metrics holds the counters and histograms of one role.
//
// A [Set] belongs to one role of a process, since a trial runs many roles in one process.
// Histograms are kept for each pair of client account and class. The number of pairs is
// limited; further ones share the pair named [OtherLabel]. Durations are reported in
// microseconds. Values accumulate from the start of the process.
package metrics
