// Package rotation chooses a few of many in turn.
package rotation

import "slices"

// Selector is where the next choice begins. The zero value begins with the first. It is not safe
// for concurrent use.
type Selector struct{ next int }

// Next returns at most most of all, from where the last call ended, so that calls in a row
// cover all of a list that stays as it is. The result is the caller's own.
func (s *Selector) Next(all []string, n int) []string {
	if len(all) <= n {
		return slices.Clone(all)
	}
	start := s.next % len(all)
	s.next += n
	return slices.Concat(all[start:], all[:start])[:n]
}
