package document

// UpdateResult is what became of an offered version.
type UpdateResult int

// The decisions on an offer.
const (
	UpdateAccepted    UpdateResult = iota + 1 // in force from now on
	UpdateUnchanged                           // in force already
	UpdateOlder                               // below the generation in force; ignored
	UpdateConflicting                         // of a split history; the later of the two is in force, with a higher generation
	UpdateRefused                             // cannot be read by this binary; the one in force is kept
)

// String returns the decision in lower case.
func (d UpdateResult) String() string {
	switch d {
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

// UpdateCounts is how many offers met each decision since the start of the process.
type UpdateCounts struct {
	Accepted    int64 `json:"accepted"`
	Older       int64 `json:"older"`
	Conflicting int64 `json:"conflicting"`
	Refused     int64 `json:"refused"`
}
