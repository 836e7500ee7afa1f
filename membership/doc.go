// Package membership knows which agents there are, what they last said, and
// whether they are alive.
//
// Table is the receiving side: Step takes reports and ticks and returns
// changes as actions; readers load an immutable Snapshot without a lock.
// Reporter is the agent's side: it decides when to report, and whether a delta
// is enough. Both are pure: time and randomness are arguments.
//
// What a Table guarantees, whatever order, duplicates and relays reports come
// in: a member never goes back to an older incarnation or sequence; draining
// is final within an incarnation, and a draining member is not in Offered of
// any snapshot loaded after the Step that learned of it; an agent that said
// goodbye returns only with a later incarnation.
package membership
