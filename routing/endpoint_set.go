package routing

// endpointSet is an immutable set of endpoints.
type endpointSet struct {
	all      []*endpoint
	sameZone []*endpoint // in the entry's own availability zone
	byID     map[TargetID]*endpoint
}

func newEndpointSet(zone string, all []*endpoint) *endpointSet {
	set := &endpointSet{all: all, byID: make(map[TargetID]*endpoint, len(all))}
	for _, e := range all {
		set.byID[e.id] = e
		if zone != "" && e.zone == zone {
			set.sameZone = append(set.sameZone, e)
		}
	}
	return set
}
