// Package relay is a UDP relay for tests and trials. It stands in for a network device that
// tracks flows: it forwards datagrams to one upstream address and can silently drop the flows
// that it knows, in one or both directions, while new flows work.
package relay
