package document

// compareVersions decides on an offered version by generation and time alone.
//
// Generations of one history grow together with At, which Put sees to. Where
// the two disagree, the histories have split: the store was restored from a
// backup and an operator put to it before a process wrote the version in force
// back. Both operators were told success. This shows as a lower generation
// that is later, a higher one that is earlier, or an equal one with another
// text.
func compareVersions(active, offered Version) UpdateResult {
	same := offered.Generation == active.Generation && offered.Digest == active.Digest
	switch {
	case same:
		return UpdateUnchanged
	case offered.Generation > active.Generation && !isLater(active, offered):
		return UpdateAccepted
	case offered.Generation < active.Generation && !isLater(offered, active):
		return UpdateOlder
	}
	return UpdateConflicting
}

// isLater orders two versions by time, then by token, so that all processes
// agree.
func isLater(a, b Version) bool {
	if !a.CreatedAt.Equal(b.CreatedAt) {
		return a.CreatedAt.After(b.CreatedAt)
	}
	return a.Token > b.Token
}

// resolveFork ends a split: the later version wins and gets a generation above both,
// so that the generation in force grows in every process. All processes come
// to the same text and generation from the same pair.
func resolveFork(a, b Version) Version {
	winner, loser := a, b
	if isLater(b, a) {
		winner, loser = b, a
	}
	winner.Replaces = loser.Token
	winner.Generation = max(a.Generation, b.Generation) + 1
	return winner
}
