package document

// UpdateResult is the outcome of an update of an ActiveSet.
type UpdateResult int

// Outcomes of an update.
const (
	UpdateAccepted    UpdateResult = iota + 1 // the version is now active
	UpdateUnchanged                           // the version was already active
	UpdateOlder                               // lower than the active generation; ignored
	UpdateConflicting                         // of a forked history; the later of the two is active, under a higher generation
	UpdateRefused                             // invalid for this binary; the active version is kept
)

// String returns the result in lower case.
func (r UpdateResult) String() string {
	switch r {
	case UpdateAccepted:
		return "accepted"
	case UpdateUnchanged:
		return "known"
	case UpdateOlder:
		return "older"
	case UpdateConflicting:
		return "conflicting"
	case UpdateRefused:
		return "refused"
	}
	return "undecided"
}

// UpdateCounts is the number of updates by result since the start of the process.
type UpdateCounts struct {
	Accepted    int64 `json:"accepted"`
	Older       int64 `json:"older"`
	Conflicting int64 `json:"conflicting"`
	Refused     int64 `json:"refused"`
}
