package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// requiredRefusals is how many consecutive refusals prove that a process has ended.
	// One is not enough: the process may just be restarting.
	requiredRefusals = 2
	// refusalInterval is the pause after a refused probe.
	refusalInterval = 50 * time.Millisecond
)

// probePacket is not a valid QUIC packet: a live endpoint drops it without an answer.
var probePacket = []byte{0}

// awaitPortRefusal probes a UDP address until it refuses requiredRefusals times in a row.
// It returns false if ctx ends first.
func awaitPortRefusal(ctx context.Context, addr string) bool {
	refusals := 0
	for ctx.Err() == nil {
		if !portRefused(ctx, addr) {
			refusals = 0
			continue
		}
		refusals++
		if refusals == requiredRefusals {
			return true
		}
		sleep(ctx, refusalInterval)
	}
	return false
}

// portRefused sends one probe and reports whether it was refused. Without a refusal it
// takes peerProbeInterval. It uses a connected socket, since refusals are reported only
// on those.
func portRefused(ctx context.Context, addr string) bool {
	conn, err := net.Dial("udp", addr)
	if err != nil {
		sleep(ctx, peerProbeInterval)
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(peerProbeInterval))
	if _, err := conn.Write(probePacket); err != nil {
		sleep(ctx, peerProbeInterval)
		return false
	}
	for {
		_, err := conn.Read(make([]byte, 1))
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
	}
}
