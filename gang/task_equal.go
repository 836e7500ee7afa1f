package gang

import "slices"

// Equal says whether two accounts tell a planner the same. RunUntil moves with
// each contact and is no news.
func (t Task) Equal(other Task) bool {
	return t.ID == other.ID &&
		t.State == other.State &&
		t.Members == other.Members &&
		t.Committed == other.Committed &&
		t.Started == other.Started &&
		t.Result == other.Result &&
		t.Checkpointed == other.Checkpointed &&
		t.Detail == other.Detail &&
		slices.Equal(t.Accelerators, other.Accelerators)
}
