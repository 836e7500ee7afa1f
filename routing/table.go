package routing

// table is the set of endpoints at one time. It is never changed once
// published.
type table struct {
	all   []*endpoint
	local []*endpoint // in the entry's own availability zone
	byID  map[TargetID]*endpoint
}

func newTable(zone string, all []*endpoint) *table {
	t := &table{all: all, byID: make(map[TargetID]*endpoint, len(all))}
	for _, e := range all {
		t.byID[e.id] = e
		if zone != "" && e.zone == zone {
			t.local = append(t.local, e)
		}
	}
	return t
}
