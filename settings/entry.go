package settings

import "github.com/eelgrasshub/eelgrasshub/document/schema"

// Entry holds the settings of an entry.
type Entry struct {
	ID     string `toml:"id" validate:"required,name"`
	Region string `toml:"region" validate:"required,name"`
	Zone   string `toml:"zone" validate:"required,name"` // availability zone
	// Services are the services that this entry takes part in; empty means all.
	Services []string `toml:"services"`

	HTTPListen string `toml:"http_listen" default:"127.0.0.1:8080" validate:"addr"`
	QUICListen string `toml:"quic_listen" default:"127.0.0.1:7800" validate:"addr"`
	// Advertise is the address at which agents and entries reach QUICListen, if it
	// differs.
	Advertise     string `toml:"advertise" validate:"omitempty,addr"`
	MetricsListen string `toml:"metrics_listen" validate:"omitempty,addr"`
	// Peers are QUIC addresses of other entries, which are queried for documents while the
	// store is unavailable. Entries that are registered in the store are found without
	// them.
	Peers []string `toml:"peers" validate:"dive,addr"`

	// ClusterKey is the secret that all processes share. AcceptedKeys are accepted too, so
	// that the key can be replaced without interruption.
	ClusterKey   string   `toml:"cluster_key" validate:"required,min=16" secret:"true"`
	AcceptedKeys []string `toml:"accepted_keys" validate:"dive,min=16" secret:"true"`

	// StoreURLs are base URLs of the platform's key-value service.
	StoreURLs      []string        `toml:"platform" validate:"required,min=1,dive,baseurl"`
	StoreTimeout   schema.Duration `toml:"platform_timeout" default:"2s" validate:"min=10ms,max=60s"`
	StoreRateLimit int             `toml:"platform_budget" default:"500" validate:"min=10,max=100000" unit:"calls a second"`

	ReportPeriod schema.Duration `toml:"report_every" default:"1s" validate:"min=100ms,max=60s"`
	// RelayThreshold is the number of known agents above which the entry assigns a relay
	// to each rack; 0 disables relays.
	RelayThreshold int `toml:"relay_above" default:"100" validate:"min=0,max=1000000" unit:"agents"`
	// DrainDelay is how long a stopping entry still serves new requests, until the load
	// balancer has noticed that it is not ready.
	DrainDelay schema.Duration `toml:"drain_delay" default:"3s" validate:"min=0s,max=60s"`
	// MemoryMB and Descriptors are the memory and the file descriptors of this process. They bound
	// what callers can make it hold.
	MemoryMB    int `toml:"memory_mb" default:"256" validate:"min=64,max=1048576" unit:"MiB"`
	Descriptors int `toml:"descriptors" default:"1024" validate:"min=256,max=1048576"`
	// StopGrace is the maximum duration of a graceful stop.
	StopGrace schema.Duration `toml:"stop_grace" default:"2m" validate:"min=1s,max=168h"`
}
