// Package gang holds the protocol that starts a job on several agents at once
// and ends it on all of them: it runs on every accelerator or not at all.
//
// A Coordinator (one per attempt, at the planner) walks through Reserve,
// Record, Commit, Start; a Member (one per agent) owns the truth about the
// accelerators of its worker. Both are pure state machines: time, identity and
// messages are arguments of Step, everything to be done is a returned action.
// Neither is safe for concurrent use; one goroutine owns each value.
//
// Times given to Step must come from a clock that keeps running while the
// process or its instance is suspended. Otherwise a hold or an isolation
// deadline survives a pause that the other side has already waited out.
//
// What holds, whatever is lost, delayed, duplicated or reordered:
//
//   - A Member never has one accelerator in two attempts.
//   - No task starts before every member of its attempt has committed, and none
//     commits before the start is in the job's record.
//   - NotStarted is reported only when no task of the attempt started and none
//     will; a coordinator that can't prove it reports Lost or Superseded.
//   - A member that hears of no whole gang for Isolation stops its task.
//
// docs/design/gang-start.md has the argument and the alternatives.
package gang
