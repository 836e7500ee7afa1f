package settings

import (
	"github.com/eelgrasshub/eelgrasshub/document/schema"
	"github.com/eelgrasshub/eelgrasshub/engine"
)

// Gateway holds the settings of a gateway on the operators' platform.
type Gateway struct {
	ID     string `toml:"id" validate:"required,name"`
	Region string `toml:"region" validate:"required,name"`
	Zone   string `toml:"zone" validate:"required,name"` // availability zone

	// Listen is the UDP address at which other processes reach this one.
	Listen string `toml:"listen" validate:"required,addr"`
	// CallerListen serves the HTTP API, ReadyListen the readiness probe and MetricsListen
	// the metrics; the last two are optional.
	CallerListen  string `toml:"caller_listen" validate:"required,addr"`
	ReadyListen   string `toml:"ready_listen" validate:"omitempty,addr"`
	MetricsListen string `toml:"metrics_listen" validate:"omitempty,addr"`
	// Seeds are hosts, with any port, of processes that may know the gateways.
	Seeds      []string `toml:"seeds"`
	ClusterKey string   `toml:"cluster_key" validate:"required,min=16" secret:"true"`
	// Store is the address of the platform's key-value store.
	Store string `toml:"store" validate:"required,addr"`

	// Advice is the address of the operators' advice service; empty if there is none.
	Advice string `toml:"advice" validate:"omitempty,addr"`

	// The settings up to Retention are those of engine.Params.
	MaxLease            schema.Duration `toml:"max_hold" default:"6s" validate:"min=100ms,max=1h"`
	StopTime            schema.Duration `toml:"stop_time" default:"900ms" validate:"min=0s,max=10m"`
	RestoreTime         schema.Duration `toml:"restore" default:"500ms" validate:"min=0s,max=10m"`
	RemoteSlowdown      float64         `toml:"remote_factor" default:"3" validate:"min=1,max=1000"`
	MaxReclaimWait      schema.Duration `toml:"reclaim" default:"3s" validate:"min=100ms,max=1h"`
	MaxLatencyViolation schema.Duration `toml:"harm" default:"4s" validate:"min=100ms,max=1h"`
	Retention           schema.Duration `toml:"retention" default:"120s" validate:"min=1s,max=168h"`
	// KeyRevocationDelay is how long a revoked API key may still be accepted.
	KeyRevocationDelay schema.Duration `toml:"key_life" default:"5s" validate:"min=2s,max=1h"`
	// CordonDeadline is the time after the acknowledgement of a cordon by which nothing
	// starts in the availability zone any more.
	CordonDeadline schema.Duration `toml:"cordon_within" default:"5s" validate:"min=3s,max=1h"`
	// StopGrace is the maximum duration of a graceful stop.
	StopGrace schema.Duration `toml:"stop_grace" default:"6s" validate:"min=1s,max=168h"`
	// Cores and LinkMbps are the processor cores and the network bandwidth of this
	// process. The gateways use them to choose the successor of a failed planner.
	Cores    float64 `toml:"cores" default:"1" validate:"min=0.01,max=1024"`
	LinkMbps float64 `toml:"link_mbps" default:"1000" validate:"min=0.1,max=1000000"`

	// MemoryMB and Descriptors are the memory and the file descriptors of this process. They bound
	// what callers can make it hold.
	MemoryMB    int `toml:"memory_mb" default:"256" validate:"min=64,max=1048576" unit:"MiB"`
	Descriptors int `toml:"descriptors" default:"1024" validate:"min=256,max=1048576"`

	Policy engine.Policy `toml:"policy"`
}
