// Package attempts makes a quick request that is not repeatable run at most
// once, and proves that one which did not run did not.
//
// A Table (one per agent) remembers the attempts that reached the agent. A
// Request (one per delivery, at an entry) claims the request's key in the
// platform's store, sends the attempt once, and after a silence resolves it with
// the agent instead of sending it again. Requests that are repeatable need
// neither.
//
// Both are pure: time and identity are arguments, all that is to be done is
// returned. Neither is safe for concurrent use; one goroutine owns each value.
//
// What holds, whatever is lost, delayed or restarted:
//
//   - No key, and no attempt without a key, is run twice.
//   - NotRun is answered only if neither this nor an earlier delivery of the key
//     ran, and none of them can run later. A delivery that the caller makes while
//     this one is under way has its own answer. What can't be proved is answered
//     Unknown.
//   - An answer that was dropped to save memory turns into Unknown, never NotRun.
//
// The transport must deliver a begin message at most once, as a QUIC stream or a
// TCP connection does; wall clocks must agree within TableConfig.Skew.
// docs/design/at-most-once.md has the argument.
package attempts
