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
	// internalMemory, in bytes, is the bound of servers that only the operators' platform and the worker
	// on the same instance call.
	internalMemory = 24 << 20
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
	return httpLimits().ForInstance(int64(cfg.MemoryMB) << 20)
}

// internalLimits returns the limits on the clients of all other servers.
func internalLimits() ingress.Limits {
	l := httpLimits()
	l.Memory = internalMemory
	return l
}
