package metrics

// Counter names a number of events since the start of the process.
type Counter uint8

// Counters.
const (
	// PairsOverflowed counts observations that went to Other.
	PairsOverflowed Counter = iota
	// RequestsRetried counts further attempts of quick requests.
	RequestsRetried
	// RequestsDeduplicated counts requests answered from an earlier attempt
	// with the same idempotency key.
	RequestsDeduplicated
	// JobsAccepted counts jobs made safe in the store.
	JobsAccepted
	// JobsEvicted counts running jobs stopped to give their capacity to others.
	JobsEvicted
	// GangsStarted counts gangs started on all their members.
	GangsStarted
	// PermitsWritten counts permits to start a job without a write to the store.
	PermitsWritten
	// PermitsUsed counts attempts that were started on one.
	PermitsUsed
	// PermitsReturned counts permits given back unused at the end of a term.
	PermitsReturned
	// GangsAborted counts gangs given up before all members started.
	GangsAborted
	// ReservationsRefused counts reservations that an agent refused.
	ReservationsRefused
	// DocumentsApplied counts generations of documents put in force.
	DocumentsApplied
	// LeadershipsHandedOver counts planner duties given to the entry preferred for them.
	LeadershipsHandedOver
	// DeadEntryLeasesRevoked counts leases of other entries ended because their process
	// was gone.
	DeadEntryLeasesRevoked
	// RelaysFailed counts relays of the rack that left a report unanswered.
	RelaysFailed

	numCounters
)

// Description says what a metric means.
type Description struct {
	Name string
	Unit string
	Help string
}

var counterDescriptions = [numCounters]Description{
	PairsOverflowed:        {"pairs_overflowed", "observations", "went to the pair named other"},
	RequestsRetried:        {"requests_retried", "attempts", "further attempts of quick requests"},
	RequestsDeduplicated:   {"requests_deduplicated", "requests", "answered from an earlier attempt with the same key"},
	JobsAccepted:           {"jobs_accepted", "jobs", "made safe in the store"},
	JobsEvicted:            {"jobs_evicted", "jobs", "running, and stopped to give capacity to others"},
	GangsStarted:           {"gangs_started", "gangs", "started on all their members"},
	PermitsWritten:         {"permits_written", "jobs", "allowed to start without a write to the store"},
	PermitsUsed:            {"permits_used", "attempts", "started without a write to the store"},
	PermitsReturned:        {"permits_returned", "jobs", "allowed to start, and given back at the end of a planner's term"},
	GangsAborted:           {"gangs_aborted", "gangs", "given up before all members started"},
	ReservationsRefused:    {"reservations_refused", "reservations", "refused by an agent"},
	DocumentsApplied:       {"documents_applied", "generations", "put in force"},
	LeadershipsHandedOver:  {"duties_handed_over", "duties", "given to the entry preferred for them"},
	DeadEntryLeasesRevoked: {"dead_entries_revoked", "leases", "of other entries, ended because their process was gone"},
	RelaysFailed:           {"relays_failed", "relays", "left a report unanswered, so that the agent reports itself"},
}

// Describe returns what the counter means.
func (c Counter) Describe() Description {
	return counterDescriptions[c]
}

// Counters lists all counters.
func Counters() []Counter {
	return enumerate(numCounters)
}

func enumerate[T ~uint8](n T) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = T(i)
	}
	return list
}
