package attempts

// Known reports whether Resolve can answer without refusing an attempt that may
// still arrive. It changes nothing.
func (t *Table) Known(id ID) bool {
	return t.records[id] != nil || t.mayHaveRun(id)
}
