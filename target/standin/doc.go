// Package standin implements a fake target and worker for tests, trials and load runs.
//
// It serves the target protocol, injects faults on request and keeps an audit log of
// what actually ran, against which the answers that the system gave its callers are
// checked.
package standin
