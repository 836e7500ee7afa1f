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
	// Doubled: work that ran more than once against its caller's word.
	Doubled Finding
	// Misreported: told not run but ran, or told done without a completed run
	// or with an answer that isn't its own and whole.
	Misreported Finding
	// Partial: a gang of which some members ran, or completed, without others.
	Partial Finding
	// Violations are those the workers recorded.
	Violations Finding
	// Incomplete: an audit log dropped records, so that it proves nothing.
	Incomplete Finding
}

// Clean reports whether nothing was found.
func (f *Findings) Clean() bool {
	n := f.Lost.Count + f.Doubled.Count + f.Misreported.Count +
		f.Partial.Count + f.Violations.Count + f.Incomplete.Count
	return n == 0
}
