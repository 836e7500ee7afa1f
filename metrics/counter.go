package metrics

// Counter identifies a count of events since the start of the process.
type Counter uint8

// Counters of a role.
const (
	// PairsOverflowed counts observations that were recorded under OtherLabel.
	PairsOverflowed Counter = iota
	// RequestsRetried counts attempts of quick requests after their first.
	RequestsRetried
	// RequestsDeduplicated counts requests answered from an earlier attempt
	// with the same idempotency key.
	RequestsDeduplicated
	// JobsAccepted counts jobs that were written to the store.
	JobsAccepted
	// JobsEvicted counts running jobs that were stopped to free capacity for others.
	JobsEvicted
	// GangsStarted counts gangs that started on all their members.
	GangsStarted
	// PermitsWritten counts stored permits to start a job without a further store write.
	PermitsWritten
	// PermitsUsed counts attempts that were started on a permit.
	PermitsUsed
	// PermitsReturned counts permits that were returned unused at the end of a planner's term.
	PermitsReturned
	// GangsAborted counts gangs that were aborted before all members started.
	GangsAborted
	// ReservationsRefused counts reservations that an agent refused.
	ReservationsRefused
	// DocumentsApplied counts generations of documents that became active.
	DocumentsApplied
	// LeadershipsHandedOver counts planner leaderships handed over to the preferred entry.
	LeadershipsHandedOver
	// DeadEntryLeasesRevoked counts leases of other entries that were revoked because
	// their process had died.
	DeadEntryLeasesRevoked
	// RelaysFailed counts reports that the rack's relay did not answer.
	RelaysFailed

	numCounters
)

// Description documents a metric.
type Description struct {
	Name string
	Unit string
	Help string
}

var counterDescriptions = [numCounters]Description{
	PairsOverflowed:        {"pairs_overflowed", "observations", "recorded under the pair named other"},
	RequestsRetried:        {"requests_retried", "attempts", "further attempts of quick requests"},
	RequestsDeduplicated:   {"requests_deduplicated", "requests", "answered from an earlier attempt with the same key"},
	JobsAccepted:           {"jobs_accepted", "jobs", "written to the store"},
	JobsEvicted:            {"jobs_evicted", "jobs", "stopped while running, to free capacity for others"},
	GangsStarted:           {"gangs_started", "gangs", "started on all their members"},
	PermitsWritten:         {"permits_written", "jobs", "permitted to start without a further store write"},
	PermitsUsed:            {"permits_used", "attempts", "started on a permit"},
	PermitsReturned:        {"permits_returned", "jobs", "returned unused at the end of a planner's term"},
	GangsAborted:           {"gangs_aborted", "gangs", "aborted before all members started"},
	ReservationsRefused:    {"reservations_refused", "reservations", "refused by an agent"},
	DocumentsApplied:       {"documents_applied", "generations", "activated"},
	LeadershipsHandedOver:  {"duties_handed_over", "leaderships", "handed over to the preferred entry"},
	DeadEntryLeasesRevoked: {"dead_entries_revoked", "leases", "of other entries, revoked because their process had died"},
	RelaysFailed:           {"relays_failed", "reports", "not answered by the relay"},
}

// Describe returns the name, unit and help text of the counter.
func (c Counter) Describe() Description {
	return counterDescriptions[c]
}

// Counters returns all counters.
func Counters() []Counter {
	return enumerate(numCounters)
}

// enumerate returns the values 0 to n-1.
func enumerate[T ~uint8](n T) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = T(i)
	}
	return list
}
