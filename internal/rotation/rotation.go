// Package rotation selects a few items of a list at a time, in rotation.
package rotation

import "slices"

// Selector remembers where the next selection starts. The zero value starts at the first item.
// It is not safe for concurrent use.
type Selector struct{ next int }

// Next returns at most n items of all, starting after those of the previous call, so that
// successive calls cover all of an unchanged list. The caller owns the result.
func (s *Selector) Next(all []string, n int) []string {
	if len(all) <= n {
		return slices.Clone(all)
	}
	start := s.next % len(all)
	s.next += n
	return slices.Concat(all[start:], all[:start])[:n]
}
