package wire

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
)

// countingConn counts the packets and bytes that a socket sends. It keeps the other
// methods of a UDP socket that quic-go uses, which only read.
type countingConn struct {
	*net.UDPConn
	packets, bytes *atomic.Int64
}

// packetHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const packetHeaderBytes = 20 + 8

func (c countingConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (int, int, error) {
	c.packets.Add(1)
	c.bytes.Add(int64(len(b) + packetHeaderBytes))
	return c.UDPConn.WriteMsgUDP(b, oob, addr)
}

func countingConfig(packets, bytes *atomic.Int64) Config {
	return Config{ListenPacket: func(_, addr string) (net.PacketConn, error) {
		local, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			return nil, err
		}
		socket, err := net.ListenUDP("udp", local)
		return countingConn{socket, packets, bytes}, err
	}}
}

func sampleReports() map[string]*Report {
	loadDelta := AgentReport{ID: "dispatch-wharf-07", Incarnation: 1767225600123456789, Sequence: 12345, BaseSequence: 12344}
	unchanged := loadDelta
	unchanged.BaseSequence = unchanged.Sequence
	loadDelta.Changed = ChangedLoad
	loadDelta.Load = Load{Running: 6, Queued: 3, CongestionMarks: 120}
	full := AgentReport{ID: loadDelta.ID, Incarnation: loadDelta.Incarnation, Sequence: loadDelta.Sequence, Full: true,
		Service: "dispatch", Region: "auckland", Zone: "wharf", Rack: "rack-03", Address: "10.20.30.40:7400",
		Accelerators: 8, Slots: 8, Connections: 64, Cores: 32, MemoryMB: 65536, Load: loadDelta.Load}
	withTasks := full
	for i := range 8 {
		withTasks.Tasks = append(withTasks.Tasks, gang.Task{
			ID:           gang.ID{Job: fmt.Sprint("0198f0c0-1111-7000-8000-00000000000", i), Epoch: 12, Number: 4711},
			State:        gang.StateRunning,
			Accelerators: []int{i},
			Members:      4,
			Committed:    true,
			Started:      true,
		})
	}
	return map[string]*Report{
		"unchanged":         {Reports: []AgentReport{unchanged}},
		"delta of the load": {Reports: []AgentReport{loadDelta}},
		"full, no tasks":    {Reports: []AgentReport{full}},
		"full, 8 tasks":     {Reports: []AgentReport{withTasks}},
	}
}

func TestMeasureReportBytes(t *testing.T) {
	c := requireMeasureFlag(t)
	for name, report := range sampleReports() {
		frame, err := encodeFrame(report, DefaultMaxPayload)
		c.Assert(err, qt.IsNil)
		t.Logf("%s: frame of %d bytes", name, len(frame))
	}
	for name, report := range sampleReports() {
		for _, interval := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprint(name, " every ", interval), func(t *testing.T) {
				t.Parallel()
				measureReportTraffic(t, report, interval)
			})
		}
	}
	t.Run("idle", func(t *testing.T) {
		t.Parallel()
		measureReportTraffic(t, nil, time.Second)
	})
}

// measureReportTraffic logs the bytes that both ends send in a minute, after the
// handshake and path MTU discovery have ended.
func measureReportTraffic(t *testing.T, report *Report, interval time.Duration) {
	c := qt.New(t)
	var sent, sentBytes, received, receivedBytes atomic.Int64
	ack := &ReportAck{Digest: 1, NextReportIn: 10 * time.Second}
	server := openEndpoint(c, "entry", countingConfig(&received, &receivedBytes), func(context.Context, *Conn, any) (any, error) { return ack, nil })
	client := openEndpoint(c, "agent", countingConfig(&sent, &sentBytes), echo)
	conn := dial(c, client, server.Addr())
	awaitIdleTransport := func() {
		for range 40 {
			conn.Ping(context.Background())
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	awaitIdleTransport()
	handshake := sentBytes.Load() + receivedBytes.Load()
	sentBefore, sentBytesBefore, receivedBefore, receivedBytesBefore := sent.Load(), sentBytes.Load(), received.Load(), receivedBytes.Load()
	const duration = time.Minute
	for range duration / interval {
		if report != nil {
			_, err := conn.Call(context.Background(), report)
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(interval)
	}
	seconds := duration.Seconds()
	t.Logf("%.0f B/s to the entry in %d packets, %.0f B/s back in %d; before that %d bytes",
		float64(sentBytes.Load()-sentBytesBefore)/seconds, sent.Load()-sentBefore, float64(receivedBytes.Load()-receivedBytesBefore)/seconds, received.Load()-receivedBefore, handshake)
}
