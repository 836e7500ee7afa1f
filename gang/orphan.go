package gang

// OrphanStop returns the message that stops an orphaned task, which would
// otherwise hold its accelerators indefinitely. A task is orphaned if the
// planner with the given epoch has no coordinator for it and the job's record,
// read after the agent's report arrived, does not name it. OrphanStop returns
// false for a reservation, which expires by itself.
func OrphanStop(t Task, incarnation, epoch uint64) (Stop, bool) {
	if t.State == StateReserved {
		return Stop{}, false
	}
	return Stop{Header: Header{ID: t.ID, Sender: epoch, Incarnation: incarnation}}, true
}
