package gang

import "slices"

// Equal says whether two accounts tell a planner the same. RunUntil moves with
// each contact and is no news.
func (t Task) Equal(o Task) bool {
	return t.ID == o.ID &&
		t.State == o.State &&
		t.Members == o.Members &&
		t.Committed == o.Committed &&
		t.Started == o.Started &&
		t.Result == o.Result &&
		t.Checkpointed == o.Checkpointed &&
		t.Detail == o.Detail &&
		slices.Equal(t.Accelerators, o.Accelerators)
}
