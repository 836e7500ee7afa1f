package load

import "fmt"

const maxExamples = 5

// Finding is one kind of breach and its first examples.
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

// Findings are the breaches of what callers were promised.
type Findings struct {
	// Lost: no final outcome, or an accepted job without a final state.
	Lost Finding
	// DuplicateRuns: work that ran more than once against its caller's word.
	DuplicateRuns Finding
	// Misreported: told not run but ran, or told done without a completed run
	// or with an answer that isn't its own and whole.
	Misreported Finding
	// PartialGangs: a gang of which some members ran, or completed, without others.
	PartialGangs Finding
	// Violations are those the workers recorded.
	Violations Finding
	// IncompleteAudits: an audit log dropped records, so that it proves nothing.
	IncompleteAudits Finding
}

// Clean reports whether nothing was found.
func (f *Findings) Clean() bool {
	n := f.Lost.Count + f.DuplicateRuns.Count + f.Misreported.Count +
		f.PartialGangs.Count + f.Violations.Count + f.IncompleteAudits.Count
	return n == 0
}
