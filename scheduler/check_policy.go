package scheduler

import (
	"fmt"
	"slices"
)

// ShapeError reports that guaranteed shapes don't fit together. Account and
// Shape are the first that could not be bound when the narrowest and largest
// are placed first; Missing blocks of that shape were left over.
type ShapeError struct {
	Account AccountID
	Shape   Shape
	Missing int
}

// Error implements error.
func (e *ShapeError) Error() string {
	return fmt.Sprintf("account %q: %d of %d guaranteed blocks of %d accelerators within one %s do not fit beside the other guarantees",
		e.Account, e.Missing, e.Shape.Count, e.Shape.Accelerators, e.Shape.Adjacency)
}

// AccountError reports that the declaration of an account is invalid.
type AccountError struct {
	Account AccountID
	Problem string
}

// Error implements error.
func (e *AccountError) Error() string {
	return fmt.Sprintf("account %q: %s", e.Account, e.Problem)
}

// CheckPolicy returns an error unless all guaranteed shapes of a policy fit at
// once on the given workers, all idle. It binds the narrowest and largest
// blocks first, so in rare cases it refuses shapes that an exhaustive search
// could fit.
func CheckPolicy(p Policy, workers []Worker) error {
	if err := checkAccounts(p); err != nil {
		return err
	}
	s := New(Options{})
	for _, w := range workers {
		s.workerUp(w)
	}
	s.applyPolicy(p)
	s.rebindUnbound()
	if len(s.unbound) == 0 {
		return nil
	}
	slices.SortStableFunc(s.unbound, narrowestFirst)
	b := s.unbound[0]
	k := shapeKeyOf(b.account, b.shape)
	missing := 0
	for _, x := range s.unbound {
		if shapeKeyOf(x.account, x.shape) == k {
			missing++
		}
	}
	return &ShapeError{b.account.policy.ID, declaredShape(b), missing}
}

// declaredShape returns the shape of a block with the count that its account
// declares.
func declaredShape(b *block) Shape {
	out := b.shape
	out.Count = 0
	for _, g := range b.account.policy.Guaranteed {
		if sameShape(g, b.shape) {
			out.Count += g.Count
		}
	}
	return out
}

func checkAccounts(p Policy) error {
	seen := map[AccountID]bool{}
	for _, a := range p.Accounts {
		if a.ID == "" {
			return &AccountError{a.ID, "an account needs an id"}
		}
		if seen[a.ID] {
			return &AccountError{a.ID, "declared twice"}
		}
		seen[a.ID] = true
		if a.Weight < 0 || a.MaxQueued < 0 {
			return &AccountError{a.ID, "weight and max queued must not be negative"}
		}
		for _, g := range a.Guaranteed {
			if g.Accelerators <= 0 || g.Count <= 0 || g.Adjacency > AdjacentWorker {
				return &AccountError{a.ID, "a guaranteed shape needs accelerators, a count and a known adjacency"}
			}
		}
	}
	return nil
}
