package capacity

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// Run one measurement of docs/CAPACITY.md at a time:
//
//	go test ./internal/capacity -run TestMeasureEntry/agents=300 -measure -v
var measure = flag.Bool("measure", false, "run the measurements; each takes up to two minutes")

func requireMeasure(t testing.TB) *qt.C {
	if !*measure {
		t.Skip("needs -measure")
	}
	return qt.New(t)
}

// loadAverage returns the machine's load average, which is logged with each measurement, since
// other processes may share the machine.
func loadAverage() string {
	raw, _ := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(raw))
	if len(fields) == 0 {
		return "?"
	}
	return fields[0]
}

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(q*float64(len(durations))))].Round(time.Microsecond)
}

// documentText returns a document with the given accounts, three classes and no topology.
func documentText(service string, accounts int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "service = %q\nowner = \"Tests\"\n", service)
	for i := range accounts {
		fmt.Fprintf(&b, "[[account]]\nname = \"account-%d\"\nweight = 2\nmax_jobs = 100000\n", i)
	}
	b.WriteString(`
[[class]]
name = "check"
kind = "quick"
deadline = "20s"
repeatable = true
[[class]]
name = "booking"
kind = "quick"
deadline = "20s"
repeatable = false
[[class]]
name = "long"
kind = "job"
repeatable = true
max_run = "24h"
`)
	return []byte(b.String())
}

// eventually waits until done returns true and returns the time that it took.
func eventually(c *qt.C, what string, done func() bool) time.Duration {
	c.Helper()
	began := time.Now()
	for time.Since(began) < time.Minute {
		if done() {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("timed out waiting for: %s", what)
	return 0
}
