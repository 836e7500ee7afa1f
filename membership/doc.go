// Package membership tracks the agents: their last reported state and whether they are
// alive.
//
// Table is the receiving side: Step takes reports and ticks and returns changes as
// actions; readers load an immutable Snapshot without a lock. Reporter is the agent's
// side: it decides when to report, and whether a delta is enough. ReportRouter decides
// whether an agent's reports go to an entry directly or through the relay of its rack.
// All are deterministic: time and randomness are arguments.
//
// Whatever the order, duplication and relaying of reports, a Table guarantees that a
// member never returns to an older incarnation or sequence, that draining is final
// within an incarnation, that a draining member is not Schedulable in any snapshot
// loaded after the Step that learned of it, and that an agent that sent a departure
// notice returns only with a later incarnation.
package membership
