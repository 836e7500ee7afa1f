package schema

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one reason why a file is rejected.
type Problem struct {
	File   string
	Line   int    // starts at 1; 0 if unknown
	Key    string // full path, such as account[0].weight; empty for the whole file
	Reason string // what is wrong and which values are accepted
}

// String returns the problem as "file:line: key: reason".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// Problems is the error for a rejected file. It lists every problem found.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems, sorted by line, as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	sorted := slices.Clone(ps)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return sorted
}
