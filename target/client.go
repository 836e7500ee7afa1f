package target

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"
)

// Defaults for zero fields of Options.
const (
	DefaultMaxConns         = 64
	DefaultMaxResponseBytes = 8 << 20
	DefaultDialTimeout      = 2 * time.Second
	defaultIdleTimeout      = 30 * time.Second
)

// Options configure a Client. Zero values take the defaults.
type Options struct {
	// BaseURL is the target's URL without a trailing slash.
	BaseURL string
	// MaxConns bounds the open connections, including those of task calls. Further
	// requests wait for one; if the context ends first they fail with ErrNotSent.
	MaxConns int
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes int64
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
}

// Client calls one target. It is safe for concurrent use.
type Client struct {
	baseURL          string
	maxResponseBytes int64
	transport        *http.Transport
}

// NewClient returns a client. It opens connections only when they are needed.
func NewClient(o Options) *Client {
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	return &Client{
		baseURL:          strings.TrimRight(o.BaseURL, "/"),
		maxResponseBytes: o.MaxResponseBytes,
		transport:        newTransport(o),
	}
}

// Close closes idle connections. Requests in progress are not interrupted.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func newTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     o.MaxConns,
		MaxIdleConns:        o.MaxConns,
		MaxIdleConnsPerHost: o.MaxConns,
		IdleConnTimeout:     defaultIdleTimeout,
		// The body is passed on unchanged.
		DisableCompression: true,
	}
}
