// Package target is the HTTP protocol between an agent and the target beside
// it, and the agent's client for it.
//
// Quick requests are forwarded once. Tasks are the members of gang jobs; they
// run under leases, so that accelerators come free when the agent dies.
//
// The client never repeats a quick request by itself, and it tells a request
// that provably was not sent ([ErrNotSent]) from one that may have run
// ([ErrOutcomeUnknown]).
package target
