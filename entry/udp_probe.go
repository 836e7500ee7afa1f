package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// requiredRefusals in a row are taken for the end of a process: a restart
	// within the time between them is not.
	requiredRefusals = 2
	// refusalInterval is the time between two refused probes.
	refusalInterval = 50 * time.Millisecond
)

// probePacket is no QUIC packet: a live endpoint drops it without an answer.
var probePacket = []byte{0}

// awaitPortRefusal probes a UDP address until it refuses, and false where ctx ends
// first. Only a connected socket is told of the refusal.
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

// portRefused sends one probe and says whether it was refused. A probe that is not
// takes peerProbeEvery.
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
