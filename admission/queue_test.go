package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/admission"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// A target is told to leave while a request waits in its queue. The caller was
// let in and must be served; a request that comes later is sent elsewhere.
func TestDrainServesTheQueueAndRefusesArrivals(t *testing.T) {
	c := qt.New(t)
	q := admission.New(admission.Options{Slots: 1})
	c.Assert(q.Step(at(0), admission.Arrived{ID: 1}), qt.DeepEquals, []admission.Action{admission.Run{ID: 1}})
	c.Assert(q.Step(at(0), admission.Arrived{ID: 2}), qt.HasLen, 0)
	q.Step(at(1), admission.Drain{})
	c.Assert(q.Step(at(2), admission.Arrived{ID: 3}), qt.DeepEquals,
		[]admission.Action{admission.Refuse{ID: 3, Reason: admission.Draining}})
	c.Assert(q.Step(at(3), admission.Finished{ID: 1, Took: 3}), qt.DeepEquals,
		[]admission.Action{admission.Run{ID: 2}})
}
