package document

// Comparison is the difference between the active versions of this process and those of a
// peer.
type Comparison struct {
	Missing []Summary // versions that the peer should send
	Ahead   []Summary // versions that the peer should receive
}

// Summaries returns the summaries of all active versions, sorted by service.
func (a *ActiveSet) Summaries() []Summary {
	active := a.All()
	list := make([]Summary, len(active))
	for i, version := range active {
		list[i] = version.Version.Summary()
	}
	return list
}

// Missing returns those of a peer's versions that this process should fetch.
func (a *ActiveSet) Missing(peer []Summary) []Summary {
	return a.Compare(peer).Missing
}

// Compare compares a peer's versions with the active ones. Versions of the same generation
// with different texts are exchanged both ways, to resolve the fork. A version that this
// binary has refused is not reported as missing, since fetching it again would not help.
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

// shouldOffer reports whether s should be sent to a process that has the version have.
func shouldOffer(s, have Summary) bool {
	return s.Generation > have.Generation || s.Generation == have.Generation && s.Digest != have.Digest
}

// wasRefused reports whether s is the last refused version of its service.
func (a *ActiveSet) wasRefused(s Summary) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastRefused[s.Service] == s
}

// NewerThan returns the active versions that a peer with the given versions lacks. Their
// texts total at most maxBytes, except that at least one version is returned.
func (a *ActiveSet) NewerThan(peer []Summary, maxBytes int) []Version {
	var list []Version
	size := 0
	for _, s := range a.Compare(peer).Ahead {
		active, _ := a.Current(s.Service)
		size += len(active.Version.TOML)
		if len(list) > 0 && size > maxBytes {
			break
		}
		list = append(list, active.Version)
	}
	return list
}
