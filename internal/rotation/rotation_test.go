package rotation_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/internal/rotation"
)

func TestSuccessiveCallsCoverAll(t *testing.T) {
	c := qt.New(t)
	var selector rotation.Selector
	all := []string{"a", "b", "c", "d", "e"}
	c.Check(selector.Next(all, 2), qt.DeepEquals, []string{"a", "b"})
	c.Check(selector.Next(all, 2), qt.DeepEquals, []string{"c", "d"})
	c.Check(selector.Next(all, 2), qt.DeepEquals, []string{"e", "a"})
	c.Check(selector.Next(all, 5), qt.DeepEquals, all)
	c.Check(selector.Next(nil, 2), qt.HasLen, 0)
}
