package document

// compareVersions classifies an offered version by generation and creation time.
//
// Within one history, both increase together. If they disagree, the history has forked:
// the store was restored from a backup, and an operator put to it before a process wrote
// the active version back. Both puts were reported as successful.
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

// isLater reports whether a was created after b. Ties are broken by token, so that all
// processes agree.
func isLater(a, b Version) bool {
	if !a.CreatedAt.Equal(b.CreatedAt) {
		return a.CreatedAt.After(b.CreatedAt)
	}
	return a.Token > b.Token
}

// resolveFork merges a forked history: the later version wins and gets a generation above
// both, so that the generation increases in every process. The result depends on the pair
// only.
func resolveFork(a, b Version) Version {
	winner, loser := a, b
	if isLater(b, a) {
		winner, loser = b, a
	}
	winner.Replaces = loser.Token
	winner.Generation = max(a.Generation, b.Generation) + 1
	return winner
}
