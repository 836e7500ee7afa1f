package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// refusalsNeeded in a row are taken for the end of a process: a restart
	// within the time between them is not.
	refusalsNeeded = 2
	// refusalPause is the time between two refused probes.
	refusalPause = 50 * time.Millisecond
)

// probePacket is no QUIC packet: a live endpoint drops it without an answer.
var probePacket = []byte{0}

// awaitRefusal probes a UDP address until it refuses, and false where ctx ends
// first. Only a connected socket is told of the refusal.
func awaitRefusal(ctx context.Context, addr string) bool {
	refused := 0
	for ctx.Err() == nil {
		if !refuses(ctx, addr) {
			refused = 0
			continue
		}
		refused++
		if refused == refusalsNeeded {
			return true
		}
		pause(ctx, refusalPause)
	}
	return false
}

// refuses sends one probe and says whether it was refused. A probe that is not
// takes peerProbeEvery.
func refuses(ctx context.Context, addr string) bool {
	conn, err := net.Dial("udp", addr)
	if err != nil {
		pause(ctx, peerProbeEvery)
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(peerProbeEvery))
	if _, err := conn.Write(probePacket); err != nil {
		pause(ctx, peerProbeEvery)
		return false
	}
	for {
		_, err := conn.Read(make([]byte, 1))
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
	}
}
