package store

import "context"

// Condition is the state in which a key must be for a conditional commit.
type Condition struct {
	Key string
	// Revision is that of the key's last write; zero means that it does not exist.
	Revision Revision
}

// CommitOutcome is what became of a conditional commit.
type CommitOutcome struct {
	// Committed: all swaps took effect, at Revision.
	Committed bool
	Revision  Revision
	// Current are the keys of conditions and swaps as they were, where it was not
	// committed. A key that does not exist has revision zero.
	Current []KeyValue
}

// TransactionalStore is a Store that also makes several swaps all or none, under conditions on
// other keys.
type TransactionalStore interface {
	Store
	// CommitIf makes the swaps if every condition holds and every swap's key is as it
	// expects. ErrUnavailable means that nothing was done; ErrOutcomeUnknown that the
	// reply was lost: the commit may have taken effect, or still may while its
	// conditions hold. Repeating the same call settles it: then Current shows the
	// values that the first call wrote.
	CommitIf(ctx context.Context, conditions []Condition, swaps []Swap) (CommitOutcome, error)
}
