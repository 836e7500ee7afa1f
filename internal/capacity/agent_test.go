package capacity

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/agent"
	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/entry"
	"github.com/eelgrasshub/eelgrasshub/internal/testport"
)

// countingProxy is a UDP proxy that counts the forwarded bytes, including headers. It stops at
// the end of the test.
type countingProxy struct {
	bytes    atomic.Int64
	socket   *net.UDPConn
	upstream *net.UDPAddr
	flows    map[string]*net.UDPConn
}

func newCountingProxy(c *qt.C, upstream string) *countingProxy {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	upstreamAddr, err := net.ResolveUDPAddr("udp", upstream)
	c.Assert(err, qt.IsNil)
	p := &countingProxy{socket: socket, upstream: upstreamAddr, flows: make(map[string]*net.UDPConn)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.forwardToUpstream()
	}()
	c.Cleanup(func() {
		_ = socket.Close()
		<-done
		for _, up := range p.flows {
			_ = up.Close()
		}
	})
	return p
}

func (p *countingProxy) forwardToUpstream() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		up := p.flows[from.String()]
		if up == nil {
			if up, err = net.DialUDP("udp", nil, p.upstream); err != nil {
				return
			}
			p.flows[from.String()] = up
			go p.forwardFromUpstream(up, from)
		}
		p.bytes.Add(int64(n + headerBytes))
		_, _ = up.Write(buf[:n])
	}
}

func (p *countingProxy) forwardFromUpstream(up *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, err := up.Read(buf)
		if err != nil {
			return
		}
		p.bytes.Add(int64(n + headerBytes))
		_, _ = p.socket.WriteToUDP(buf[:n], to)
	}
}

// TestMeasureAgent measures a real agent that is idle, that runs one of two members of a gang,
// and that runs 8 tasks of one-member jobs.
func TestMeasureAgent(t *testing.T) {
	requireMeasure(t)
	for _, every := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
		t.Run(fmt.Sprint("every=", every), func(t *testing.T) { measureAgent(qt.New(t), every) })
	}
}

func measureAgent(c *qt.C, reportPeriod time.Duration) {
	names := services(1)
	region := newTestRegion(c, names...)
	cfg := region.entrySettings("entry-1", reportPeriod)
	cfg.QUICListen = testport.Capacity.FreeAddr()
	proxy := newCountingProxy(c, cfg.QUICListen)
	cfg.Advertise = proxy.socket.LocalAddr().String()
	e, err := entry.Start(cfg, discardLogger())
	c.Assert(err, qt.IsNil)
	c.Cleanup(e.Close)
	other, err := agent.Start(region.agentSettings("worker-2", names[0], cfg.Advertise, reportPeriod), discardLogger())
	c.Assert(err, qt.IsNil)
	c.Cleanup(other.Close)
	p := startProcess(c, agentSettingsEnv, region.agentSettings("worker-1", names[0], cfg.Advertise, reportPeriod))
	eventually(c, "both known", func() bool { known, applied := region.countAlive(e.HTTPAddr(), 1); return known == 2 && applied == 2 })
	client := api.NewClient("http://"+e.HTTPAddr(), nil)
	measureUsage := func(label string) {
		time.Sleep(2 * settleTime)
		const span = 10 * time.Second
		bytes, before := proxy.bytes.Load(), p.usage()
		time.Sleep(span)
		bytes, after := proxy.bytes.Load()-bytes, p.usage()
		c.Logf("agent, report every %v, %s: processor %.2f%% of a core, heap %d KB stacks %d KB resident %d KB goroutines %d, %.0f B/s both ways | load %s",
			reportPeriod, label, 100*after.ProcessorTimeSince(before).Seconds()/span.Seconds(), after.Heap>>10, after.Stacks>>10, after.Resident>>10, after.Goroutines, float64(bytes)/2/span.Seconds(), loadAverage())
	}
	measureUsage("idle")
	gangJob := region.submitJob(client, names[0], "gang", 16, 18*time.Second)
	measureUsage("one of two members of a gang of 16 runs")
	time.Sleep(8 * time.Second)
	status, err := client.GetJob(context.Background(), names[0], gangJob, 0)
	c.Assert(err, qt.IsNil)
	c.Logf("the gang, report every %v: %s in attempt %d, %s", reportPeriod, status.State, status.Attempt, status.Detail)
	_, err = client.CancelJob(context.Background(), names[0], gangJob)
	c.Assert(err, qt.IsNil)
	for i := range 16 {
		region.submitJob(client, names[0], fmt.Sprint("small-", i), 1, time.Minute)
	}
	measureUsage("8 tasks of one member run")
}
