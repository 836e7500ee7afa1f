// Package gang implements the protocol that starts a job on several agents at
// once and ends it on all of them: the job runs on all of its accelerators or
// on none.
//
// A Coordinator (one per attempt, in the planner) goes through Reserve,
// Record, Commit and Start. A Member (one per agent) is the authority on the
// accelerators of its worker. Both are state machines without I/O: time and
// messages are arguments of Step, and everything to be done is a returned
// action. Neither is safe for concurrent use; one goroutine owns each value.
//
// Times passed to Step must come from a clock that keeps running while the
// process or its instance is suspended. Otherwise a hold or an isolation
// deadline outlasts a pause that the other side has already waited out.
//
// Guarantees, whatever is lost, delayed, duplicated or reordered:
//
//   - A Member never assigns one accelerator to two attempts.
//   - No task starts before every member of its attempt has committed, and none
//     commits before the start is in the job's record or covered by a permit.
//   - NotStarted is reported only if no task of the attempt started and none
//     will; a coordinator that can't prove it reports Lost or Superseded.
//   - A member of a gang of several stops its task if the attempt is not renewed
//     for IsolationTimeout.
//
// See docs/design/gang-start.md for the rationale and the alternatives.
package gang
