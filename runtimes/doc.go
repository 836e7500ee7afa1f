// Package runtimes expects how long work will run, from what its caller declares and from
// what work of the same queue took before.
//
// Callers' declarations may be good or worthless, and the work of a queue alike or mixed.
// Which of the two tells more is learned for each queue from how widely each has lately
// scattered. The package needs no clock and no network; it is not safe for concurrent use.
package runtimes
