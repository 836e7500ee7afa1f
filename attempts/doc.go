// Package attempts runs non-repeatable requests at most once, and tells those that
// provably did not run from those that may have.
//
// A Table (one per agent) records the attempts that reached the agent. A Request
// (one per delivery, at an entry) claims the request's key in the platform's
// store, sends the attempt once, and if no reply comes asks the agent what became
// of it instead of sending it again. Idempotent requests need neither.
//
// Neither type does I/O or reads a clock: time and identity are arguments, and
// the actions to carry out are returned. Neither is safe for concurrent use.
//
// These guarantees hold whatever messages are lost or delayed and whichever
// processes restart:
//
//   - No key, and no attempt without a key, runs twice.
//   - NotRun is answered only if neither this delivery of the key nor an earlier
//     one ran, and none of them can run later. A delivery that the caller makes
//     concurrently has its own answer. Whatever can't be proved is Unknown.
//   - A request whose answer was evicted to save memory is Unknown, never NotRun.
//
// The transport must deliver a begin message at most once, as a QUIC stream or a
// TCP connection does, and wall clocks must agree within
// TableConfig.MaxClockSkew. docs/design/at-most-once.md contains the proof.
package attempts
