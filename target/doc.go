// Package target defines the HTTP protocol between an agent and the target on the same
// instance, and implements the agent's client.
//
// Quick requests are forwarded once. Tasks are the members of gang jobs; they run under
// leases, so that accelerators come free when the agent dies.
//
// The client never retries a quick request. It distinguishes a request that provably was
// not sent ([ErrNotSent]) from one that may have run ([ErrOutcomeUnknown]).
package target
