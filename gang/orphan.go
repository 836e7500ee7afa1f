package gang

// OrphanStop returns the message that ends a task which a report lists, for which the
// planner with the given epoch runs no coordinator, and which the job's record,
// read after the report arrived, does not name. Such a task is left over when a
// coordinator ended while one of its members could not be reached; without this
// its accelerators would be held for good. Reservations expire by themselves and
// need none.
func OrphanStop(t Task, incarnation, epoch uint64) (Stop, bool) {
	if t.State == StateReserved {
		return Stop{}, false
	}
	return Stop{Header: Header{ID: t.ID, Sender: epoch, Incarnation: incarnation}}, true
}
