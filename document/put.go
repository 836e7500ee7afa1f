package document

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Proposal is an operator's new version of a document.
type Proposal struct {
	FileName       string // of the file, for messages
	TOML           []byte
	BaseGeneration uint64 // generation the operator edited; 0 where there is none yet
	Author         string
	Token          string    // unique to this proposal; a retry of it carries the same
	CreatedAt      time.Time // the operator's clock
	// ActiveGeneration is the highest generation that a running process reported, 0
	// where none could be asked. It keeps a put away from a store that was
	// restored and not yet repaired.
	ActiveGeneration uint64
}

// minTokenLen is the shortest token taken: a UUID without dashes has 32.
const minTokenLen = 16

// minTimeStep is how much At grows at least along the generations.
const minTimeStep = time.Millisecond

// Put writes a proposal by compare-and-swap and returns the version it became.
// Success means that the store took the write. ErrConflict, ErrStoreBehind and
// a refused text mean that it was not written; store.ErrUnavailable the
// same. After ErrOutcomeUnknown the operator reads the store; the same
// proposal may be put again. Put keeps trying to learn a lost outcome until
// ctx ends.
func Put(ctx context.Context, store store.Store, p Proposal) (Version, error) {
	d, err := Parse(p.FileName, p.TOML)
	if err != nil {
		return Version{}, err
	}
	if len(p.Token) < minTokenLen || p.Author == "" {
		return Version{}, eris.Errorf("proposal needs an author and a token of %d characters", minTokenLen)
	}
	current, err := readStored(ctx, store, d.Service)
	if err != nil {
		return Version{}, eris.Wrap(err, "nothing was written")
	}
	if taken := current.Version.Token == p.Token; taken {
		return current.Version, nil // an earlier try of this proposal
	}
	if current.Version.Generation != p.BaseGeneration {
		return Version{}, newConflictError(p, current.Version)
	}
	if p.ActiveGeneration > current.Version.Generation {
		return Version{}, eris.Wrapf(ErrStoreBehind, "store generation %d, in force %d, nothing was written",
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

// nextVersion returns the version that follows current. At grows also where the
// operator's clock is behind the one before: a version that is later in time
// than another of the same document was accepted later.
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
