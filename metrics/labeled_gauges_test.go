package metrics_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/metrics"
)

func TestGaugesHoldTheLastValue(t *testing.T) {
	c := qt.New(t)
	var g metrics.LabeledGauges
	g.Set("s/w1", 1.5)
	g.Set("s/w1", 0.75)
	g.Set("s/w2", 2)
	g.Set("s/w3", 3)
	g.Remove("s/w2")
	var out strings.Builder
	g.WriteText(&out, "slowdown")
	c.Check(out.String(), qt.Equals, "slowdown{label=\"s/w1\"} 0.75\nslowdown{label=\"s/w3\"} 3\n")
	g.Clear()
	out.Reset()
	g.WriteText(&out, "slowdown")
	c.Check(out.String(), qt.Equals, "")
}

// Labels name workers, which come and go, and must not exhaust the memory.
func TestGaugeLabelsAreBounded(t *testing.T) {
	var g metrics.LabeledGauges
	for i := range 1000 {
		g.Set(fmt.Sprint(i), 1)
	}
	var out strings.Builder
	g.WriteText(&out, "slowdown")
	qt.Check(t, strings.Count(out.String(), "\n") < 300, qt.IsTrue)
}
