package routing

// TargetID names a target within its service.
type TargetID string

// Target is what membership knows about one target.
type Target struct {
	ID          TargetID
	Zone        string // availability zone
	Slots       int    // requests that the target runs at the same time
	MaxInflight int    // most requests that one entry may have in flight there
	Draining    bool   // leaving: gets nothing new
	Incarnation uint64 // grows with each restart; a new one starts afresh
}
