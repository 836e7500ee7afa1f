package main

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/ingress"
	"github.com/eelgrasshub/eelgrasshub/platform"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// internalConnections and internalMemory, in bytes, are the bounds of servers that only the
	// operators' platform and the worker on the same instance call.
	internalConnections = 64
	internalMemory      = 24 << 20
)

// httpLimits returns the limits on a single request.
func httpLimits() ingress.Limits {
	return ingress.Limits{
		HeaderBytes:    maxHeaderBytes,
		HeaderTimeout:  headerTimeout,
		RequestTimeout: headerTimeout + platform.MaxCallTimeout,
		IdleTimeout:    idleTimeout,
	}
}

// callerLimits returns the limits on a gateway's callers.
func callerLimits(cfg settings.Gateway) ingress.Limits {
	return httpLimits().ForInstance(int64(cfg.MemoryMB)<<20, cfg.Descriptors)
}

// internalLimits returns the limits on the clients of all other servers.
func internalLimits() ingress.Limits {
	l := httpLimits()
	l.Connections, l.Memory = internalConnections, internalMemory
	return l
}
