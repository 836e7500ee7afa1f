// Package capacity holds the measurements behind docs/CAPACITY.md: how a
// process's processor time, memory and traffic grow with the number of agents,
// jobs and services. The measurements are tests that run only with -measure.
//
// The non-test part is what they need besides the daemons themselves: light
// stand-ins of agents, and a counter of calls to the platform's store by cause.
// No daemon imports it.
package capacity
