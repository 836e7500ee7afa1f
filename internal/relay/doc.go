// Package relay stands in for a device between two ends of UDP that keeps track
// of flows. It forwards datagrams to one upstream address, and can lose the flows
// that it knows, for good and in one direction or both, while new ones work.
//
// It is for tests and trials.
package relay
