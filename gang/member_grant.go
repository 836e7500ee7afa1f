package gang

// checkAvailable returns why the accelerators can't be assigned now, or
// Accepted.
func (m *Member) checkAvailable(accelerators []int) Refusal {
	if len(accelerators) == 0 {
		return Invalid
	}
	seen := make([]bool, len(m.owners))
	for _, i := range accelerators {
		if i < 0 || i >= len(m.owners) || seen[i] {
			return Invalid
		}
		seen[i] = true
	}
	for _, i := range accelerators {
		if m.owners[i] != nil {
			return Busy
		}
	}
	return Accepted
}

// assignAccelerators records the attempt as the owner of its accelerators. It
// panics if one has an owner already, because going on would damage both
// tasks.
func (m *Member) assignAccelerators(a *attempt) {
	for _, i := range a.task.Accelerators {
		if m.owners[i] != nil {
			panic("gang: accelerator assigned to two attempts")
		}
		m.owners[i] = a
	}
}

// endAttempt frees the accelerators and keeps the attempt as a tombstone.
func (m *Member) endAttempt(a *attempt) {
	for _, i := range a.task.Accelerators {
		if m.owners[i] == a {
			m.owners[i] = nil
		}
	}
	a.task.State = StateEnded
	a.spec = nil
	// The end of an attempt that never started need not be reported.
	a.acknowledged = !a.task.Started
	m.tombstones++
	m.evictTombstones()
}

// evictTombstones drops the oldest tombstones above the limit, acknowledged
// ones first. Unknown attempts up to highestForgotten are answered with
// Forgotten: late copies of their messages must not run them again, and a Seal
// must not prove that they never committed.
func (m *Member) evictTombstones() {
	for m.tombstones > m.config.MaxTombstones {
		oldest := m.oldestTombstone()
		if oldest.task.ID.Compare(m.highestForgotten) > 0 {
			m.highestForgotten = oldest.task.ID
		}
		delete(m.attempts, oldest.task.ID)
		m.tombstones--
	}
}

func (m *Member) oldestTombstone() *attempt {
	var oldest *attempt
	for _, a := range m.attempts {
		if a.task.State == StateEnded && (oldest == nil || a.evictedBefore(oldest)) {
			oldest = a
		}
	}
	return oldest
}

func (a *attempt) evictedBefore(other *attempt) bool {
	if a.acknowledged != other.acknowledged {
		return a.acknowledged
	}
	return a.task.ID.Compare(other.task.ID) < 0
}
