package store

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of Options.
const (
	DefaultCallTimeout      = 2 * time.Second
	DefaultWatchIdleTimeout = 30 * time.Second
	DefaultBurst            = 32

	maxIdleConnsPerHost = 16
)

// Options of a Client.
type Options struct {
	// Endpoints are base URLs, such as http://10.0.0.1:2379, tried in order
	// from the last one that worked.
	Endpoints []string
	// CallTimeout bounds each attempt of a call.
	CallTimeout time.Duration
	// RateLimit is the calls a second that this process may make; zero means no
	// limit. Burst is how many it may make at once.
	RateLimit rate.Limit
	Burst     int
	// WatchIdleTimeout is how long a watch may stay silent before its connection is
	// replaced. It must be longer than the service's progress notices are
	// apart; otherwise quiet watches reconnect needlessly, one call each time.
	WatchIdleTimeout time.Duration
	// HTTP makes the calls; nil means a client of its own. It must have no
	// Timeout, which would cut watches.
	HTTP *http.Client
}

func (o Options) withDefaults() Options {
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchIdleTimeout <= 0 {
		o.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	if o.RateLimit <= 0 {
		o.RateLimit = rate.Inf
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	if o.HTTP == nil {
		o.HTTP = newHTTPClient(o.CallTimeout)
	}
	return o
}

func newHTTPClient(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	}}
}
