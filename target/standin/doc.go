// Package standin is a stand-in for a target and its worker, for tests, trials
// and load runs.
//
// It runs quick requests and tasks as the target protocol says, keeps a log of
// what truly ran, and shows faults on demand. What the system told its callers
// is audited against that log.
package standin
