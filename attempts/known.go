package attempts

// Known says whether the table has an account of the attempt. Unlike Resolve it
// leaves one that has not arrived as it is.
func (t *Table) Known(id ID) bool {
	return t.records[id] != nil || t.mayHaveRun(id)
}
