package metrics_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/metrics"
)

func TestLatenciesByLabel(t *testing.T) {
	c := qt.New(t)
	var l metrics.LabeledLatencies
	for i := range 100 {
		l.Observe("big/score", time.Duration(i+1)*time.Millisecond)
	}
	l.Observe(`od"d`, 48*time.Hour)
	var out strings.Builder
	l.WriteText(&out, "wait_us")
	c.Check(out.String(), qt.Contains, `wait_us{label="big/score",stat="count"} 100`)
	c.Check(out.String(), qt.Contains, `wait_us{label="od\"d",stat="count"} 1`)
}

func TestLatencyLabelsAreBounded(t *testing.T) {
	c := qt.New(t)
	var l metrics.LabeledLatencies
	for i := range 500 {
		l.Observe(fmt.Sprint(i), time.Millisecond)
	}
	var out strings.Builder
	l.WriteText(&out, "x")
	c.Check(strings.Count(out.String(), "\n") <= 201*4, qt.IsTrue)
	c.Check(out.String(), qt.Contains, `label="`+metrics.OtherLabel+`",stat="count"} 300`)
}
