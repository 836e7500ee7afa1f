// Package rotation chooses a few of many in turn.
package rotation

import "slices"

// Selector is where the next choice begins. The zero value begins with the first. It is not safe
// for concurrent use.
type Selector struct{ next int }

// Next returns at most most of all, from where the last call ended, so that calls in a row
// cover all of a list that stays as it is. The result is the caller's own.
func (t *Selector) Next(all []string, most int) []string {
	if len(all) <= most {
		return slices.Clone(all)
	}
	from := t.next % len(all)
	t.next += most
	return slices.Concat(all[from:], all[:from])[:most]
}
