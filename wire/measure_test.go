package wire

import (
	"context"
	"flag"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// measure enables the measurements: go test ./wire -run Measure -measure -v
var measure = flag.Bool("measure", false, "run the measurements; takes minutes")

func requireMeasureFlag(t *testing.T) *qt.C {
	if !*measure {
		t.Skip("requires -measure")
	}
	return qt.New(t)
}

// unlimitedAccepts does not limit the rate of handshakes.
var unlimitedAccepts = Config{AcceptRate: 1e6, AcceptBurst: 1e6}

func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentBytes returns the resident set size of the process.
func residentBytes(c *qt.C) int {
	raw, err := os.ReadFile("/proc/self/statm")
	c.Assert(err, qt.IsNil)
	pages, err := strconv.Atoi(strings.Fields(string(raw))[1])
	c.Assert(err, qt.IsNil)
	return pages * os.Getpagesize()
}

func TestMeasureExchange(t *testing.T) {
	c := requireMeasureFlag(t)
	server := openEndpoint(c, "agent", Config{}, echo)
	client := openEndpoint(c, "entry", Config{}, echo)
	conn := dial(c, client, server.Addr())
	msg := &GangMessage{Payload: make([]byte, 512)}
	for _, n := range []int{2000, 20000} {
		latencies := make([]time.Duration, n)
		cpuStart := cpuTime()
		for i := range latencies {
			start := time.Now()
			_, err := conn.Call(context.Background(), msg)
			c.Assert(err, qt.IsNil)
			latencies[i] = time.Since(start)
		}
		cpu := cpuTime() - cpuStart
		slices.Sort(latencies)
		t.Logf("%d exchanges of 512 bytes each way, one after another: p50 %v p99 %v, processor %v an exchange, both ends",
			n, latencies[n/2], latencies[n*99/100], cpu/time.Duration(n))
	}
}

func TestMeasureParallelExchange(t *testing.T) {
	c := requireMeasureFlag(t)
	server := openEndpoint(c, "agent", Config{}, echo)
	client := openEndpoint(c, "entry", Config{}, echo)
	conn := dial(c, client, server.Addr())
	const callsPerCaller = 2000
	cpuStart, start := cpuTime(), time.Now()
	done := make(chan error, 64)
	for range cap(done) {
		go func() {
			for range callsPerCaller {
				if _, err := conn.Call(context.Background(), &GangMessage{Payload: make([]byte, 512)}); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range cap(done) {
		c.Assert(<-done, qt.IsNil)
	}
	n := time.Duration(callsPerCaller * cap(done))
	t.Logf("64 callers on one connection: %.0f exchanges a second, processor %v an exchange, both ends",
		float64(n)/time.Since(start).Seconds(), (cpuTime()-cpuStart)/n)
}

func TestMeasureHandshake(t *testing.T) {
	c := requireMeasureFlag(t)
	server := openEndpoint(c, "entry", unlimitedAccepts, echo)
	client := openEndpoint(c, "agent", unlimitedAccepts, echo)
	const n = 500
	cpuStart, start := cpuTime(), time.Now()
	for range n {
		dial(c, client, server.Addr()).Close()
	}
	t.Logf("dial, hello and close: %v each, processor %v of both ends", time.Since(start)/n, (cpuTime()-cpuStart)/n)
}
