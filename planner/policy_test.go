package planner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/jobs"
)

// Jobs of a class with may_borrow = false must not run on accelerators
// guaranteed to other accounts.
func TestClassControlsBorrowing(t *testing.T) {
	c := qt.New(t)
	d := &document.Document{Classes: []document.Class{
		{Name: "lends", Kind: document.Job, MayBorrow: true},
		{Name: "stays", Kind: document.Job},
	}}
	for class, want := range map[string]bool{"lends": false, "stays": true} {
		j := schedulerJob(jobs.Record{Spec: jobs.Spec{Class: class, Repeatable: true}}, d)
		c.Assert(j.NoBorrow, qt.Equals, want)
	}
}
