package gang

// OrphanStop returns the message that stops an orphaned task: one that an
// agent reports, for which the planner with the given epoch has no
// coordinator, and which the job's record, read after the report arrived, does
// not name. Such a task is left over when an attempt ends while a member is
// unreachable, and would hold its accelerators indefinitely. It returns false
// for a reservation, which expires by itself.
func OrphanStop(t Task, incarnation, epoch uint64) (Stop, bool) {
	if t.State == StateReserved {
		return Stop{}, false
	}
	return Stop{Header: Header{ID: t.ID, Sender: epoch, Incarnation: incarnation}}, true
}
