package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/agent"
	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/internal/testport"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

// rackSize is the number of agents in a rack.
const rackSize = 20

// TestMeasureRacks measures an entry, before and after its restart, whose agents report through
// relays: one real agent and 19 stand-ins in each rack, with changing loads.
func TestMeasureRacks(t *testing.T) {
	requireMeasure(t)
	for _, n := range []int{200, 1000, 3400} {
		t.Run(fmt.Sprintf("agents=%d", n), func(t *testing.T) { measureRacks(qt.New(t), n, 10*time.Second) })
	}
}

func measureRacks(c *qt.C, n int, reportPeriod time.Duration) {
	names := services(1)
	region := newTestRegion(c, names...)
	cfg, proxy := region.entrySettingsWithRelays(reportPeriod)
	p := startProcess(c, entrySettingsEnv, cfg)
	for i := range n / rackSize {
		a, err := agent.Start(region.rackAgentSettings(i, names[0], cfg.Advertise, reportPeriod), discardLogger())
		c.Assert(err, qt.IsNil)
		c.Cleanup(a.Close)
	}
	f := NewFleet(cfg.Advertise, reportPeriod, true)
	f.SetRackSize(rackSize - 1)
	c.Cleanup(f.Stop)
	for range n / rackSize {
		c.Assert(f.Add(rackSize-1, names...), qt.IsNil)
		time.Sleep(100 * time.Millisecond) // keeps handshakes below the admitted rate
	}
	allRelayed := func() bool { return region.countRelayed(p.addresses[1]) == n-n/rackSize }
	eventually(c, "all agents report through relays", allRelayed)
	region.measureSteadyState(p, proxy, n, reportPeriod, "dialled by all")

	p.stop()
	p = startProcess(c, entrySettingsEnv, cfg)
	began := p.usage()
	took := eventually(c, "all agents report through relays again", allRelayed)
	c.Logf("%d agents, restarted entry: all through relays after %v, processor %v", n, took.Round(time.Millisecond), p.usage().ProcessorTimeSince(began).Round(time.Millisecond))
	region.measureSteadyState(p, proxy, n, reportPeriod, "after a restart of the entry")
}

func (r *testRegion) measureSteadyState(p *process, proxy *countingProxy, n int, reportPeriod time.Duration, label string) {
	time.Sleep(3*settleTime + 2*reportPeriod) // until unused connections are closed
	const span = 24 * time.Second
	bytes, before := proxy.bytes.Load(), p.usage()
	time.Sleep(span)
	bytes, after := proxy.bytes.Load()-bytes, p.usage()
	processorTime := after.ProcessorTimeSince(before)
	r.Logf("%d agents in racks of %d every %v, %s: processor %.1f us/s an agent, %.2f%% of a core | heap %d MB stacks %d KB resident %d MB goroutines %d | %.1f B/s an agent, %.1f KB/s both ways | not through relays %d | load %s",
		n, rackSize, reportPeriod, label, float64(processorTime.Microseconds())/float64(n)/span.Seconds(), 100*processorTime.Seconds()/span.Seconds(),
		after.Heap>>20, after.Stacks>>10, after.Resident>>20, after.Goroutines,
		float64(bytes)/float64(n)/span.Seconds(), float64(bytes)/1024/span.Seconds(), n-r.countRelayed(p.addresses[1]), loadAverage())
}

// entrySettingsWithRelays returns the settings of an entry that names relays, and the proxy in
// front of it that counts bytes.
func (r *testRegion) entrySettingsWithRelays(reportPeriod time.Duration) (settings.Entry, *countingProxy) {
	cfg := r.entrySettings("entry-1", reportPeriod)
	cfg.QUICListen = testport.Capacity.FreeAddr()
	cfg.RelayThreshold = 1
	proxy := newCountingProxy(r.C, cfg.QUICListen)
	cfg.Advertise = proxy.socket.LocalAddr().String()
	return cfg, proxy
}

// rackAgentSettings returns the settings of the real agent in a rack of the fleet.
func (r *testRegion) rackAgentSettings(i int, service, seed string, reportPeriod time.Duration) settings.Agent {
	cfg := r.agentSettings(fmt.Sprintf("relay-%03d", i), service, seed, reportPeriod)
	cfg.Rack = fmt.Sprint("rack-", i)
	return cfg
}

// countRelayed returns the number of agents that report to the entry through a relay.
func (r *testRegion) countRelayed(httpAddr string) int {
	status, err := api.NewClient("http://"+httpAddr, nil).Status(context.Background())
	if err != nil {
		return 0
	}
	relayed := 0
	for _, m := range status.Members {
		if m.Relay != "" {
			relayed++
		}
	}
	return relayed
}

// TestMeasureRelay measures a real agent that is the relay of 19 stand-ins in its rack.
func TestMeasureRelay(t *testing.T) {
	requireMeasure(t)
	for _, every := range []time.Duration{time.Second, 10 * time.Second} {
		for _, loads := range []bool{false, true} {
			t.Run(fmt.Sprintf("every=%v/loads=%v", every, loads), func(t *testing.T) {
				measureRelay(qt.New(t), every, loads)
			})
		}
	}
}

func measureRelay(c *qt.C, reportPeriod time.Duration, varyLoad bool) {
	names := services(1)
	region := newTestRegion(c, names...)
	cfg, proxy := region.entrySettingsWithRelays(reportPeriod)
	entry := startProcess(c, entrySettingsEnv, cfg)
	p := startProcess(c, agentSettingsEnv, region.rackAgentSettings(0, names[0], cfg.Advertise, reportPeriod))
	f := NewFleet(cfg.Advertise, reportPeriod, varyLoad)
	f.SetRackSize(rackSize - 1)
	c.Cleanup(f.Stop)
	c.Assert(f.Add(rackSize-1, names...), qt.IsNil)
	eventually(c, "all agents report through the relay", func() bool { return region.countRelayed(entry.addresses[1]) == rackSize-1 })
	time.Sleep(3*settleTime + 2*reportPeriod)
	memberTraffic := func() int64 { return f.Traffic.SentBytes.Load() + f.Traffic.ReceivedBytes.Load() }
	const span = 24 * time.Second
	entryBytes, memberBytes, before := proxy.bytes.Load(), memberTraffic(), p.usage()
	time.Sleep(span)
	entryBytes, memberBytes = proxy.bytes.Load()-entryBytes, memberTraffic()-memberBytes
	after := p.usage()
	c.Logf("relay of %d agents, report every %v, loads %v: processor %.2f%% of a core, heap %d KB stacks %d KB resident %d KB goroutines %d | members %.0f B/s, entry %.0f B/s both ways | load %s",
		rackSize, reportPeriod, varyLoad, 100*after.ProcessorTimeSince(before).Seconds()/span.Seconds(), after.Heap>>10, after.Stacks>>10, after.Resident>>10, after.Goroutines,
		float64(memberBytes)/span.Seconds(), float64(entryBytes)/span.Seconds(), loadAverage())
	for generation := range uint64(3) {
		entryBytes, memberBytes, before = proxy.bytes.Load(), memberTraffic(), p.usage()
		began := time.Now()
		v := region.putDocument(names[0], generation+1)
		eventually(c, "document active on all agents", func() bool { return len(f.AppliedAt(v.Generation)) == rackSize-1 })
		took := time.Since(began)
		eventually(c, "reported", func() bool { _, all := region.countAlive(entry.addresses[1], v.Generation); return all == rackSize })
		time.Sleep(settleTime)
		c.Logf("a document of %d bytes: active at all members after %v | members %.1f KB, entry %.1f KB both ways, processor %v", len(v.TOML),
			took.Round(time.Microsecond), float64(memberTraffic()-memberBytes)/1024, float64(proxy.bytes.Load()-entryBytes)/1024, p.usage().ProcessorTimeSince(before).Round(time.Millisecond))
	}
}
