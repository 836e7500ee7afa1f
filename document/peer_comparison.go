package document

// Comparison is how the versions in force here relate to those of a peer.
type Comparison struct {
	Missing []Summary // the peer's that we should be offered
	Ahead   []Summary // ours that the peer should be offered
}

// Summaries names every version in force, sorted by service. It is what
// processes tell each other.
func (a *ActiveSet) Summaries() []Summary {
	active := a.All()
	list := make([]Summary, len(active))
	for i, h := range active {
		list[i] = h.Version.Summary()
	}
	return list
}

// Missing returns those of a peer's versions that we should be offered.
func (a *ActiveSet) Missing(peer []Summary) []Summary {
	return a.Compare(peer).Missing
}

// Compare relates a peer's versions to ours. An equal generation with another
// text is to be offered both ways, to end a split. A version that this binary
// refused is not missing: fetching it again on every exchange would help
// nobody.
func (a *ActiveSet) Compare(peer []Summary) Comparison {
	ours, theirs := byService(a.Summaries()), byService(peer)
	var c Comparison
	for _, s := range peer {
		if shouldOffer(s, ours[s.Service]) && !a.wasRefused(s) {
			c.Missing = append(c.Missing, s)
		}
	}
	for _, s := range a.Summaries() {
		if shouldOffer(s, theirs[s.Service]) {
			c.Ahead = append(c.Ahead, s)
		}
	}
	return c
}

func byService(list []Summary) map[string]Summary {
	m := make(map[string]Summary, len(list))
	for _, s := range list {
		m[s.Service] = s
	}
	return m
}

// shouldOffer is true where a holder of held should be offered s.
func shouldOffer(s, have Summary) bool {
	return s.Generation > have.Generation || s.Generation == have.Generation && s.Digest != have.Digest
}

func (a *ActiveSet) wasRefused(s Summary) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastRefused[s.Service] == s
}

// NewerThan returns the versions in force that a peer with the given versions
// lacks, up to maxBytes of text but at least one.
func (a *ActiveSet) NewerThan(peer []Summary, maxBytes int) []Version {
	var list []Version
	size := 0
	for _, s := range a.Compare(peer).Ahead {
		h, _ := a.Current(s.Service)
		size += len(h.Version.TOML)
		if len(list) > 0 && size > maxBytes {
			break
		}
		list = append(list, h.Version)
	}
	return list
}
