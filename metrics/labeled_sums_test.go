package metrics_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/metrics"
)

func TestSumsAddUpByLabel(t *testing.T) {
	c := qt.New(t)
	var s metrics.LabeledSums
	s.Add("q/evicted", 1.5)
	s.Add("q/evicted", 2)
	s.Add("q/drained", 1)
	var out strings.Builder
	s.WriteText(&out, "lost")
	c.Check(out.String(), qt.Equals, "lost{label=\"q/drained\"} 1\nlost{label=\"q/evicted\"} 3.5\n")
}

// Labels come from callers' accounts and queues, and must not exhaust the memory.
func TestSumLabelsAreBounded(t *testing.T) {
	c := qt.New(t)
	var s metrics.LabeledSums
	for i := range 1000 {
		s.Add(fmt.Sprint(i), 1)
	}
	var out strings.Builder
	s.WriteText(&out, "lost")
	c.Check(strings.Count(out.String(), "\n") < 300, qt.IsTrue)
	c.Check(strings.Contains(out.String(), metrics.OtherLabel), qt.IsTrue)
}
