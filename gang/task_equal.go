package gang

import "slices"

// Equal reports whether two tasks are the same to a planner. RunUntil is
// ignored, since it changes with each renewal.
func (t Task) Equal(other Task) bool {
	return t.ID == other.ID &&
		t.State == other.State &&
		t.Members == other.Members &&
		t.Committed == other.Committed &&
		t.Started == other.Started &&
		t.Unconfirmed == other.Unconfirmed &&
		t.Result == other.Result &&
		t.Checkpointed == other.Checkpointed &&
		t.Detail == other.Detail &&
		slices.Equal(t.Accelerators, other.Accelerators)
}
