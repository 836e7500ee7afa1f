package schema

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one reason why a file is refused.
type Problem struct {
	File   string
	Line   int    // 1 for the first line; 0 where no line can be named
	Key    string // full key, such as account[0].weight; empty for the whole file
	Reason string // what is wrong and what is accepted
}

// String returns file:line: key: reason.
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

// Problems is the error of a refused file: every problem found, in the order
// of the file.
type Problems []Problem

// Error returns one problem a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems in file order as an error, nil where there are
// none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	sorted := slices.Clone(ps)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return sorted
}
