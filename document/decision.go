package document

// Decision is what became of an offered version.
type Decision int

// The decisions on an offer.
const (
	Accepted    Decision = iota + 1 // in force from now on
	Known                           // in force already
	Older                           // below the generation in force; ignored
	Conflicting                     // of a split history; the later of the two is in force, with a higher generation
	Refused                         // cannot be read by this binary; the one in force is kept
)

// String returns the decision in lower case.
func (d Decision) String() string {
	switch d {
	case Accepted:
		return "accepted"
	case Known:
		return "known"
	case Older:
		return "older"
	case Conflicting:
		return "conflicting"
	case Refused:
		return "refused"
	}
	return "undecided"
}

// Counts is how many offers met each decision since the start of the process.
type Counts struct {
	Accepted    int64 `json:"accepted"`
	Older       int64 `json:"older"`
	Conflicting int64 `json:"conflicting"`
	Refused     int64 `json:"refused"`
}
