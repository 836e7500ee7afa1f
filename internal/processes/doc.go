// Package processes tests gateways and node agents as processes of the program, on loopback. The
// operators' store and the workers are stand-ins in the test process, so the workers' own records
// show what ran. Processes are paused, ended and restarted beside the faults of the stand-ins.
//
// It covers what an in-process deployment can't: a process that is suspended as a whole, lost
// datagrams after its receive buffer is full, and state that ends with the process.
package processes
