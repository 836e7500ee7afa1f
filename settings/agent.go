package settings

import "github.com/eelgrasshub/eelgrasshub/document/schema"

// Agent holds the settings of an agent and of the worker that it runs beside.
type Agent struct {
	ID      string `toml:"id" validate:"required,name"`
	Service string `toml:"service" validate:"required,name"`
	Region  string `toml:"region" validate:"required,name"`
	Zone    string `toml:"zone" validate:"required,name"` // availability zone
	Rack    string `toml:"rack" validate:"required,name"`

	Listen        string `toml:"listen" default:"127.0.0.1:0" validate:"addr"`
	MetricsListen string `toml:"metrics_listen" validate:"omitempty,addr"`
	// Seeds are QUIC addresses of entries or of their load balancer, from which the agent
	// learns of other entries.
	Seeds      []string `toml:"seeds" validate:"required,min=1,dive,addr"`
	ClusterKey string   `toml:"cluster_key" validate:"required,min=16" secret:"true"`
	// AcceptedKeys are accepted besides ClusterKey, so that the key can be replaced
	// without interruption.
	AcceptedKeys []string `toml:"accepted_keys" validate:"dive,min=16" secret:"true"`
	// Target is the base URL of the target.
	Target string `toml:"target" validate:"required,baseurl"`

	Accelerators int `toml:"accelerators" default:"8" validate:"min=0,max=64" unit:"accelerators"`
	Slots        int `toml:"slots" default:"8" validate:"min=1,max=10000" unit:"quick requests at once"`
	Connections  int `toml:"connections" default:"64" validate:"min=1,max=100000" unit:"connections to the target"`
	Cores        int `toml:"cores" default:"32" validate:"min=1,max=4096" unit:"cores"`
	MemoryMB     int `toml:"memory_mb" default:"65536" validate:"min=1" unit:"MiB"`

	ReportPeriod schema.Duration `toml:"report_every" default:"1s" validate:"min=100ms,max=60s"`
	// StopGrace is the maximum duration of a graceful stop.
	StopGrace schema.Duration `toml:"stop_grace" default:"15m" validate:"min=1s,max=168h"`
}
