package store

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Defaults for Options.
const (
	DefaultCallTimeout      = 2 * time.Second
	DefaultWatchIdleTimeout = 30 * time.Second
	DefaultBurst            = 32

	maxIdleConnsPerHost = 16
)

// Options configures a Client. A zero field takes its default.
type Options struct {
	// Endpoints are base URLs such as http://10.0.0.1:2379. They are tried in order,
	// starting with the last one that worked.
	Endpoints []string
	// CallTimeout limits each attempt of a call.
	CallTimeout time.Duration
	// RateLimit is the maximum number of calls per second; zero means no limit. Burst
	// is the number of calls that may be made at once.
	RateLimit rate.Limit
	Burst     int
	// WatchIdleTimeout is the time without a message after which the connection of a
	// watch is replaced. It must be longer than the service's interval between progress
	// notices; otherwise idle watches reconnect needlessly.
	WatchIdleTimeout time.Duration
	// HTTP makes the calls; nil means a client with its own connections. It must have
	// no Timeout, which would end watches.
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
