package wire

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestMeasureConnectionPairs(t *testing.T) {
	c := requireMeasureFlag(t)
	server := openEndpoint(c, "entry", unlimitedAccepts, echo)
	client := openEndpoint(c, "agents", unlimitedAccepts, echo)
	base, baseRSS := memStats(), residentBytes(c)
	opened := 0
	for _, n := range []int{100, 300, 1000} {
		before := cpuTime()
		for ; opened < n; opened++ {
			dialAndCall(c, client, server.Addr())
		}
		now := memStats()
		t.Logf("%d pairs: heap %d KB, stacks %d KB, resident %d KB a pair; processor since the last line %v",
			n, growthPerConnKB(now.HeapAlloc, base.HeapAlloc, n), growthPerConnKB(now.StackInuse, base.StackInuse, n),
			(residentBytes(c)-baseRSS)/n/1024, cpuTime()-before)
	}
}

func dialAndCall(c *qt.C, client *Endpoint, addr string) {
	conn := dial(c, client, addr)
	for range creditBatch - 1 {
		_, err := conn.Call(context.Background(), &GangMessage{Payload: make([]byte, 512)})
		c.Assert(err, qt.IsNil)
	}
}

func memStats() runtime.MemStats {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}

// growthPerConnKB returns the growth in KB per connection.
func growthPerConnKB(now, before uint64, n int) int64 {
	return (int64(now) - int64(before)) / int64(n) / 1024
}

const dialersEnv = "EELGRASSHUB_MEASURE_DIALERS"

// Measures the accepting end alone: the dialers run in another process.
func TestMeasureAcceptedConnections(t *testing.T) {
	c := requireMeasureFlag(t)
	if os.Getenv(dialersEnv) != "" {
		t.Skip("runs only in the accepting process")
	}
	server := openEndpoint(c, "entry", unlimitedAccepts, echo)
	base, baseRSS, cpuStart := memStats(), residentBytes(c), cpuTime()
	dialers := exec.Command(os.Args[0], "-test.run=TestMeasureDialers", "-measure")
	dialers.Env = append(os.Environ(), dialersEnv+"="+server.Addr())
	out, err := dialers.StdoutPipe()
	c.Assert(err, qt.IsNil)
	in, err := dialers.StdinPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(dialers.Start(), qt.IsNil)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		n, err := strconv.Atoi(strings.TrimPrefix(lines.Text(), "connections "))
		if err != nil {
			continue
		}
		cpu := cpuTime() - cpuStart
		now := memStats()
		t.Logf("%d accepted: heap %d KB, stacks %d KB, resident %d KB each; processor of this end %v each",
			n, growthPerConnKB(now.HeapAlloc, base.HeapAlloc, n), growthPerConnKB(now.StackInuse, base.StackInuse, n),
			(residentBytes(c)-baseRSS)/n/1024, cpu/time.Duration(n))
		fmt.Fprintln(in, "next")
	}
	c.Assert(dialers.Wait(), qt.IsNil)
}

func TestMeasureDialers(t *testing.T) {
	c := requireMeasureFlag(t)
	addr := os.Getenv(dialersEnv)
	if addr == "" {
		t.Skip("runs only in the process started by TestMeasureAcceptedConnections")
	}
	client := openEndpoint(c, "agents", unlimitedAccepts, echo)
	input := bufio.NewScanner(os.Stdin)
	opened := 0
	for _, n := range []int{100, 300, 1000} {
		for ; opened < n; opened++ {
			dialAndCall(c, client, addr)
		}
		fmt.Printf("\nconnections %d\n", n)
		input.Scan()
	}
}

// Measures how fast the 900 agents of an availability zone connect to one entry at the
// same time.
func TestMeasureZoneReconnect(t *testing.T) {
	c := requireMeasureFlag(t)
	server := openEndpoint(c, "entry", Config{}, echo)
	client := openEndpoint(c, "agents", Config{}, echo)
	const n = 900
	start, cpu := time.Now(), cpuTime()
	connectTimes := make(chan time.Duration, n)
	for range n {
		pool := NewPool(client)
		c.Cleanup(pool.Close)
		go func() {
			for {
				_, err := pool.Conn(context.Background(), server.Addr())
				if err == nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			connectTimes <- time.Since(start)
		}()
	}
	sorted := make([]time.Duration, n)
	for i := range sorted {
		sorted[i] = <-connectTimes
	}
	slices.Sort(sorted)
	t.Logf("%d agents connected: half after %v, 99%% after %v, all after %v; processor of both ends %v",
		n, sorted[n/2], sorted[n*99/100], sorted[n-1], cpuTime()-cpu)
}
