// Package agent implements the process that runs beside each target. It is the
// authority on its worker: which quick requests wait and run, which accelerators are
// reserved for which gang, and which attempts have arrived.
//
// The packages admission, attempts, gang and document make the decisions without I/O;
// this package adds clocks, sockets and goroutines. An agent stores nothing on disk:
// after a restart it has a new incarnation and no record of earlier attempts, and asks
// its target which tasks still run.
package agent
