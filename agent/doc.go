// Package agent is the process beside each target. It owns the truth about its
// worker: which quick requests wait and run, which accelerators are granted to
// which gang, and which attempts have been seen.
//
// The decisions are those of the pure packages admission, attempts, gang and
// document; this package gives them a clock, sockets and goroutines. An agent
// keeps nothing on disk: after a restart it has a new incarnation, has forgotten
// all attempts, and asks its target what still runs there.
package agent
