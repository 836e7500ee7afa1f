package document

import (
	"fmt"

	"github.com/rogpeppe/go-internal/diff"
	"github.com/rotisserie/eris"
)

var (
	// ErrConflict is returned if another version was put since the operator's base.
	// Nothing was written. The error is a *ConflictError.
	ErrConflict = eris.New("document conflict")
	// ErrOutcomeUnknown is returned if the write may or may not have taken effect.
	ErrOutcomeUnknown = eris.New("outcome not known: run config get")
	// ErrStoreBehind is returned if running processes have a higher generation than the
	// store, which was restored from a backup. They write theirs back within seconds.
	// Nothing was written.
	ErrStoreBehind = eris.New("store has an older generation than running processes")
)

// ConflictError describes the version that was put first, and its difference from the
// proposal.
type ConflictError struct {
	BaseGeneration uint64  // generation that the operator edited
	Current        Version // the version in the store
	Diff           string  // unified line diff from Current to the operator's text
}

// Error names both generations and the author of the stored one, followed by the diff.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s of %s: your base is generation %d, the store holds generation %d by %s of %s; nothing was written\n%s",
		ErrConflict, e.Current.Service, e.BaseGeneration, e.Current.Generation, e.Current.Author,
		e.Current.CreatedAt.Format("2006-01-02 15:04:05Z"), e.Diff)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error {
	return ErrConflict
}

func newConflictError(p Proposal, current Version) error {
	return &ConflictError{
		BaseGeneration: p.BaseGeneration,
		Current:        current,
		Diff: string(diff.Diff(
			fmt.Sprintf("generation %d in the store", current.Generation), current.TOML,
			fmt.Sprintf("yours, based on generation %d", p.BaseGeneration), p.TOML)),
	}
}
