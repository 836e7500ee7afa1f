package store

import "context"

// Condition is a requirement on a key for CommitIf.
type Condition struct {
	Key string
	// Revision is the required revision of the key's last write; zero means that the
	// key must not exist.
	Revision Revision
}

// CommitOutcome is the result of CommitIf.
type CommitOutcome struct {
	// Committed is true if all swaps took effect, at Revision.
	Committed bool
	Revision  Revision
	// Current holds the keys of the conditions and swaps as they were, if the commit
	// failed. A key that does not exist has revision zero.
	Current []KeyValue
}

// TransactionalStore is a Store that can also make several swaps atomically, under
// conditions on other keys.
type TransactionalStore interface {
	Store
	// CommitIf makes all swaps if every condition holds and every swap's key is at its
	// expected revision, and none otherwise. ErrUnavailable means that nothing was
	// done. ErrOutcomeUnknown means that the reply was lost: the commit may have taken
	// effect, or may still do so while its conditions hold. Repeating the same call
	// resolves this: Current then shows the values that the first call wrote.
	CommitIf(ctx context.Context, conditions []Condition, swaps []Swap) (CommitOutcome, error)
}
