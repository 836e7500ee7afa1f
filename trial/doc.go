// Package trial runs every role of a deployment in one process: the platform's
// store and the workers by their stand-ins, entries and agents as they are, all
// over real sockets on loopback. Its handles inject the failures that a
// deployment meets: processes that die, outages of the store, lost replies,
// connections that go silent, targets that misbehave.
//
// It is for tests, trials and load runs. Everything started by a Cluster ends
// with its Close.
package trial
