package document

// Comparison is how the versions in force here relate to those of a peer.
type Comparison struct {
	Missing     []Summary // the peer's, higher than ours: to be fetched
	Ahead       []Summary // ours, higher than the peer's: to be sent
	Conflicting []Summary // the peer's, same generation with another text
}

// Generations names every version in force, sorted by service. It is what
// processes tell each other.
func (f *InForce) Generations() []Summary {
	held := f.All()
	list := make([]Summary, len(held))
	for i, h := range held {
		list[i] = h.Version.Summary()
	}
	return list
}

// Missing returns those of a peer's versions that are higher than ours.
func (f *InForce) Missing(peer []Summary) []Summary {
	return f.Compare(peer).Missing
}

// Compare relates a peer's versions to ours. A version that this binary
// refused is not missing: fetching it again on every exchange would help
// nobody.
func (f *InForce) Compare(peer []Summary) Comparison {
	var c Comparison
	theirs := make(map[string]uint64, len(peer))
	for _, s := range peer {
		theirs[s.Service] = s.Generation
		h, ok := f.Current(s.Service)
		switch {
		case !ok || s.Generation > h.Version.Generation:
			if !f.hasRefused(s) {
				c.Missing = append(c.Missing, s)
			}
		case s.Generation == h.Version.Generation && s.Digest != h.Version.Digest:
			c.Conflicting = append(c.Conflicting, s)
		}
	}
	for _, s := range f.Generations() {
		if s.Generation > theirs[s.Service] {
			c.Ahead = append(c.Ahead, s)
		}
	}
	return c
}

func (f *InForce) hasRefused(s Summary) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused[s.Service] == s
}

// Newer returns the versions in force that a peer with the given versions
// lacks, up to maxBytes of text but at least one.
func (f *InForce) Newer(peer []Summary, maxBytes int) []Version {
	var list []Version
	size := 0
	for _, s := range f.Compare(peer).Ahead {
		h, _ := f.Current(s.Service)
		size += len(h.Version.TOML)
		if len(list) > 0 && size > maxBytes {
			break
		}
		list = append(list, h.Version)
	}
	return list
}
