// Package trial runs a whole deployment in one process, over real sockets on loopback: entries
// and agents, and stand-ins of the platform's store and of the targets. It can inject failures:
// dying processes, store outages, lost store replies, blackholed connections and faulty
// targets.
//
// It is for tests, trials and load runs. Cluster.Close stops everything that a Cluster started.
package trial
