package document

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Proposal is a new version of a document that an operator submits.
type Proposal struct {
	FileName       string // for error messages
	TOML           []byte
	BaseGeneration uint64 // generation that was edited; 0 for a first document
	Author         string
	Token          string    // unique to this proposal and the same in its retries
	CreatedAt      time.Time // by the operator's clock
	// ActiveGeneration is the highest generation that a running process reported, or 0 if
	// none was asked. With it, Put rejects writes to a store that was restored from a
	// backup and not yet repaired.
	ActiveGeneration uint64
}

// minTokenLen is the minimum length of a token: that of a UUID without dashes is 32.
const minTokenLen = 16

// minTimeStep is the minimum difference of CreatedAt between successive generations.
const minTimeStep = time.Millisecond

// Put writes a proposal by compare-and-swap and returns the version that was stored. After
// a validation error, ErrConflict, ErrStoreBehind or store.ErrUnavailable, nothing was
// written. After ErrOutcomeUnknown the proposal may or may not have been written; it may
// be put again. Put retries until ctx ends to find out the outcome of a write whose reply
// was lost.
func Put(ctx context.Context, store store.Store, p Proposal) (Version, error) {
	d, err := Parse(p.FileName, p.TOML)
	if err != nil {
		return Version{}, err
	}
	if len(p.Token) < minTokenLen || p.Author == "" {
		return Version{}, eris.Errorf("proposal needs an author and a token of at least %d characters", minTokenLen)
	}
	current, err := readStored(ctx, store, d.Service)
	if err != nil {
		return Version{}, eris.Wrap(err, "nothing was written")
	}
	if alreadyStored := current.Version.Token == p.Token; alreadyStored {
		return current.Version, nil // an earlier attempt succeeded
	}
	if current.Version.Generation != p.BaseGeneration {
		return Version{}, newConflictError(p, current.Version)
	}
	if p.ActiveGeneration > current.Version.Generation {
		return Version{}, eris.Wrapf(ErrStoreBehind, "store has generation %d, processes have %d; nothing was written",
			current.Version.Generation, p.ActiveGeneration)
	}
	version := nextVersion(current.Version, p)
	version.Service = d.Service
	write, err := newPendingWrite(store, p, version, current.Revision)
	if err != nil {
		return Version{}, err
	}
	return write.run(ctx)
}

// nextVersion returns the version that follows current. Its CreatedAt is later than that
// of current even if the operator's clock is behind, since the order in time of two
// versions must be that of their acceptance.
func nextVersion(current Version, p Proposal) Version {
	at := p.CreatedAt.UTC().Truncate(minTimeStep)
	if earliest := current.CreatedAt.Add(minTimeStep); at.Before(earliest) {
		at = earliest
	}
	return Version{
		Generation: current.Generation + 1,
		Token:      p.Token,
		Replaces:   current.Token,
		Author:     p.Author,
		CreatedAt:  at,
		TOML:       p.TOML,
		Digest:     DigestOf(p.TOML),
	}
}
