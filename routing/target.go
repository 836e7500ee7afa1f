package routing

// TargetID identifies a target within its service.
type TargetID string

// Target is what membership knows about one target.
type Target struct {
	ID          TargetID
	Zone        string // availability zone
	Slots       int    // requests that the target runs at the same time
	MaxInflight int    // most attempts that one entry may have in flight there
	Draining    bool   // leaving; gets no new attempts
	Incarnation uint64 // increases with each restart, which discards the measurements
}
