package load

import "fmt"

const maxExamples = 5

// Finding counts violations of one kind and holds the first maxExamples of them.
type Finding struct {
	Count    int
	Examples []string
}

func (f *Finding) add(format string, args ...any) {
	f.Count++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// Findings holds the violations of the guarantees given to callers, by kind.
type Findings struct {
	// Lost counts requests without a known outcome and accepted jobs without a final state.
	Lost Finding
	// DuplicateRuns counts work that ran more than once although its caller did not allow it.
	DuplicateRuns Finding
	// Misreported counts work that was reported as not run but ran, or as done without a
	// completed run or with an incomplete or foreign answer.
	Misreported Finding
	// PartialGangs counts gangs of which only some members started or completed.
	PartialGangs Finding
	// Violations counts the violations that the workers recorded.
	Violations Finding
	// IncompleteAudits counts audit logs that dropped records and so prove nothing.
	IncompleteAudits Finding
}

// Clean reports whether there are no findings.
func (f *Findings) Clean() bool {
	n := f.Lost.Count + f.DuplicateRuns.Count + f.Misreported.Count +
		f.PartialGangs.Count + f.Violations.Count + f.IncompleteAudits.Count
	return n == 0
}
