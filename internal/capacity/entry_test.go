package capacity

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const settleTime = 2 * time.Second

// TestMeasureEntry measures the memory, processor time and traffic of an entry by the number of
// agents and their report period, with constant and changing loads.
func TestMeasureEntry(t *testing.T) {
	requireMeasure(t)
	for _, n := range []int{100, 300, 1000} {
		for _, every := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
			for _, loads := range []bool{false, true} {
				if !loads && every > time.Second {
					continue // the effect of changing loads is measured at one second
				}
				t.Run(fmt.Sprintf("agents=%d/every=%v/loads=%v", n, every, loads), func(t *testing.T) {
					measureEntry(qt.New(t), n, 1, every, loads)
				})
			}
		}
	}
}

// TestMeasureEntryServices is like TestMeasureEntry for many services.
func TestMeasureEntryServices(t *testing.T) {
	requireMeasure(t)
	for _, n := range []int{1, 10, 94} {
		t.Run(fmt.Sprintf("services=%d", n), func(t *testing.T) {
			measureEntry(qt.New(t), 300, n, time.Second, true)
		})
	}
}

func measureEntry(c *qt.C, n, serviceCount int, reportPeriod time.Duration, varyLoad bool) {
	names := services(serviceCount)
	region := newTestRegion(c, names...)
	p := startProcess(c, entrySettingsEnv, region.entrySettings("entry-1", reportPeriod))
	time.Sleep(settleTime)
	start := p.usage()
	time.Sleep(settleTime)
	empty := p.usage()
	f := NewFleet(p.addresses[0], reportPeriod, varyLoad)
	c.Cleanup(f.Stop)
	began := time.Now()
	c.Assert(f.Add(n, names...), qt.IsNil)
	eventually(c, "all agents known", func() bool {
		known, _ := region.countAlive(p.addresses[1], 1)
		return known == n
	})
	known := time.Since(began)
	time.Sleep(3*settleTime + 3*reportPeriod) // until path MTU discovery has ended
	before := p.usage()
	bytes := func() int64 { return f.Traffic.SentBytes.Load() + f.Traffic.ReceivedBytes.Load() }
	totalBytes, reports := bytes(), f.Reports.Load()
	span := max(8*time.Second, 2*reportPeriod)
	time.Sleep(span)
	totalBytes, reports = bytes()-totalBytes, f.Reports.Load()-reports
	after := p.usage()
	perAgentKB := func(a, b uint64) float64 { return (float64(a) - float64(b)) / float64(n) / 1024 }
	processorTime := after.ProcessorTimeSince(before)
	c.Logf("agents %d services %d every %v loads %v | empty heap %d KB resident %d KB | heap %.1f KB stacks %.1f KB resident %.1f KB goroutines %.1f an agent | processor %.1f us/s an agent, %.1f us a report, %.2f%% of a core | %.0f B/s an agent both ways, %.0f B a report | known after %v, empty %.2f%% of a core | load %s",
		n, serviceCount, reportPeriod, varyLoad, empty.Heap>>10, empty.Resident>>10, perAgentKB(after.Heap, empty.Heap), perAgentKB(after.Stacks, empty.Stacks), perAgentKB(after.Resident, empty.Resident),
		float64(after.Goroutines-empty.Goroutines)/float64(n),
		float64(processorTime.Microseconds())/float64(n)/span.Seconds(), float64(processorTime.Microseconds())/float64(max(1, reports)), 100*processorTime.Seconds()/span.Seconds(),
		float64(totalBytes)/float64(n)/span.Seconds(), float64(totalBytes)/float64(max(1, reports)), known.Round(time.Millisecond), 100*(empty.ProcessorTimeSince(start)).Seconds()/settleTime.Seconds(), loadAverage())
}

// TestMeasureOtherServiceChanges measures the traffic of agents while the document of another
// service changes.
func TestMeasureOtherServiceChanges(t *testing.T) {
	requireMeasure(t)
	for _, n := range []int{2, 94} {
		t.Run(fmt.Sprintf("services=%d", n), func(t *testing.T) { measureOtherServiceChanges(qt.New(t), n) })
	}
}

func measureOtherServiceChanges(c *qt.C, serviceCount int) {
	const n, every, span = 100, time.Second, 10
	names := services(serviceCount)
	region := newTestRegion(c, names...)
	p := startProcess(c, entrySettingsEnv, region.entrySettings("entry-1", every))
	f := NewFleet(p.addresses[0], every, false)
	c.Cleanup(f.Stop)
	c.Assert(f.Add(n, names[0]), qt.IsNil)
	eventually(c, "document active on all agents", func() bool { _, applied := region.countAlive(p.addresses[1], 1); return applied == n })
	time.Sleep(5 * settleTime)
	traffic := func() int64 { return f.Traffic.SentBytes.Load() + f.Traffic.ReceivedBytes.Load() }
	for _, changes := range []bool{false, true} {
		bytes, reports, before := traffic(), f.Reports.Load(), p.usage()
		for i := range span {
			if changes {
				region.putDocument(names[1], uint64(i+1))
			}
			time.Sleep(time.Second)
		}
		bytes, reports = traffic()-bytes, f.Reports.Load()-reports
		c.Logf("%d agents, %d services, one document of another service changes each second: %v | %.0f B a report both ways, entry's processor %.0f us a report | load %s",
			n, serviceCount, changes, float64(bytes)/float64(reports), float64(p.usage().ProcessorTimeSince(before).Microseconds())/float64(reports), loadAverage())
	}
}

// TestMeasureMassReconnect measures how an entry admits all agents of an availability zone at
// once.
func TestMeasureMassReconnect(t *testing.T) {
	requireMeasure(t)
	for _, n := range []int{100, 300, 900} {
		t.Run(fmt.Sprintf("agents=%d", n), func(t *testing.T) { measureMassReconnect(qt.New(t), n) })
	}
}

func measureMassReconnect(c *qt.C, n int) {
	const every = 10 * time.Second
	names := services(1)
	region := newTestRegion(c, names...)
	p := startProcess(c, entrySettingsEnv, region.entrySettings("entry-1", every))
	time.Sleep(settleTime)
	f := NewFleet(p.addresses[0], every, false)
	c.Cleanup(f.Stop)
	for round := range 3 {
		failed, refused, bytes := f.Failed.Load(), f.Refused.Load(), f.Traffic.SentBytes.Load()+f.Traffic.ReceivedBytes.Load()
		before := p.usage()
		admitted := f.Admitted.Load()
		began := time.Now()
		c.Assert(f.Add(n, names...), qt.IsNil)
		connectTime := time.Since(began)
		eventually(c, "all agents reported", func() bool { return f.Admitted.Load()-admitted == int64(n) })
		took := time.Since(began)
		after := p.usage()
		c.Logf("%d agents reconnect, round %d: dialled within %v, all admitted after %v, entry's processor %v (%.2f ms an agent), heap %d MB resident %d MB, failed %d refused %d, %.1f KB an agent both ways | load %s",
			n, round, connectTime.Round(time.Millisecond), took.Round(time.Millisecond), after.ProcessorTimeSince(before).Round(time.Millisecond),
			float64((after.Processor-before.Processor).Microseconds())/1000/float64(n), after.Heap>>20, after.Resident>>20, f.Failed.Load()-failed, f.Refused.Load()-refused,
			float64(f.Traffic.SentBytes.Load()+f.Traffic.ReceivedBytes.Load()-bytes)/1024/float64(n), loadAverage())
		f.Stop()
		time.Sleep(settleTime)
	}
}

// TestMeasureDocumentDistribution measures the time from a document change until each agent
// applies it, and the traffic.
func TestMeasureDocumentDistribution(t *testing.T) {
	requireMeasure(t)
	for _, n := range []int{100, 300, 1000} {
		t.Run(fmt.Sprintf("agents=%d", n), func(t *testing.T) { measureDocumentDistribution(qt.New(t), n) })
	}
}

func measureDocumentDistribution(c *qt.C, n int) {
	const every = 10 * time.Second
	names := services(1)
	region := newTestRegion(c, names...)
	p := startProcess(c, entrySettingsEnv, region.entrySettings("entry-1", every))
	f := NewFleet(p.addresses[0], every, false)
	c.Cleanup(f.Stop)
	c.Assert(f.Add(n, names...), qt.IsNil)
	eventually(c, "document active on all agents", func() bool {
		known, applied := region.countAlive(p.addresses[1], 1)
		return known == n && applied == n
	})
	time.Sleep(settleTime)
	for generation := uint64(1); generation < 6; generation++ {
		bytes := f.Traffic.SentBytes.Load() + f.Traffic.ReceivedBytes.Load()
		before := p.usage()
		calls := region.calls.Calls()
		began := time.Now()
		v := region.putDocument(names[0], generation)
		accepted := time.Since(began)
		eventually(c, "document active on all agents", func() bool { return len(f.AppliedAt(v.Generation)) == n })
		reported := eventually(c, "reported", func() bool { _, applied := region.countAlive(p.addresses[1], v.Generation); return applied == n })
		after := p.usage()
		var applyTimes []time.Duration
		for _, at := range f.AppliedAt(v.Generation) {
			applyTimes = append(applyTimes, at.Sub(began))
		}
		c.Logf("%d agents, document of %d bytes: accepted after %v, active p50 %v p99 %v max %v, all reported %v later | entry's processor %v, %.1f KB an agent both ways | calls %v | load %s",
			n, len(v.TOML), accepted.Round(time.Microsecond), quantile(applyTimes, 0.5), quantile(applyTimes, 0.99), quantile(applyTimes, 1), reported.Round(time.Millisecond),
			after.ProcessorTimeSince(before).Round(time.Millisecond), float64(f.Traffic.SentBytes.Load()+f.Traffic.ReceivedBytes.Load()-bytes)/1024/float64(n), callIncrease(region.calls.Calls(), calls, 1), loadAverage())
	}
}

// callIncrease formats the calls made since before, by kind and key, divided by n.
func callIncrease(now, before map[string]int, n float64) string {
	out := make(map[string]string)
	for cause, calls := range now {
		if calls > before[cause] {
			out[cause] = fmt.Sprintf("%.2f", float64(calls-before[cause])/n)
		}
	}
	return fmt.Sprint(out)
}
