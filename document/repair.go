package document

// repair returns what the store should hold where it holds stored while this
// process holds held. The second result is false where nothing is to be done.
//
// It guards against a store restored from a backup, which shows as a lower
// generation than the one in force, or as none. The version in force is
// written back as it is: every process that holds it need not change.
//
// A version put after the restore and before the repair is later than the one
// in force, although its generation is not higher: Put lets At grow along the
// generations, so that an ancestor of held is always earlier. Its operator was
// told success, so that it is kept and gets a generation above both. Every
// process computes the same bytes from the same pair.
func repair(held, stored Version) (Version, bool) {
	if stored.Generation > held.Generation {
		return Version{}, false
	}
	if stored.Generation == held.Generation && stored.Digest == held.Digest {
		return Version{}, false
	}
	switch {
	case later(stored, held):
		return above(stored, held), true
	case stored.Generation == held.Generation:
		return above(held, stored), true
	}
	return held, true
}

// later orders two versions by time, then by token, so that all processes
// agree.
func later(a, b Version) bool {
	if !a.At.Equal(b.At) {
		return a.At.After(b.At)
	}
	return a.Token > b.Token
}

// above returns winner with the generation after the higher of the two.
func above(winner, loser Version) Version {
	winner.Replaces = loser.Token
	winner.Generation = max(winner.Generation, loser.Generation) + 1
	return winner
}
