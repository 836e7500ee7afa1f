// Package capacity holds the measurements behind docs/CAPACITY.md: how the processor time,
// memory and traffic of a process grow with the number of agents, jobs and services. The
// measurements are tests that run only with the flag -measure.
//
// The non-test files hold lightweight stand-in agents and a counter of the calls to the
// platform's store. Only the measurements use them.
package capacity
