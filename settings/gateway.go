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
	Listen        string `toml:"listen" validate:"required,addr"`
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

	MaxLease            schema.Duration `toml:"max_hold" default:"6s" validate:"min=100ms,max=1h"`
	StopTime            schema.Duration `toml:"stop_time" default:"900ms" validate:"min=0s,max=10m"`
	RestoreTime         schema.Duration `toml:"restore" default:"500ms" validate:"min=0s,max=10m"`
	RemoteSlowdown      float64         `toml:"remote_factor" default:"3" validate:"min=1,max=1000"`
	MaxReclaimWait      schema.Duration `toml:"reclaim" default:"3s" validate:"min=100ms,max=1h"`
	MaxLatencyViolation schema.Duration `toml:"harm" default:"4s" validate:"min=100ms,max=1h"`
	Retention           schema.Duration `toml:"retention" default:"120s" validate:"min=1s,max=168h"`
	// KeyRevocationDelay is how long a key that was taken away may still be honoured.
	KeyRevocationDelay schema.Duration `toml:"key_life" default:"5s" validate:"min=2s,max=1h"`
	// CordonDeadline is how soon after its acknowledgement nothing may start in a cordoned
	// availability zone any more.
	CordonDeadline schema.Duration `toml:"cordon_within" default:"5s" validate:"min=3s,max=1h"`
	// StopGrace is the maximum duration of a graceful stop.
	StopGrace schema.Duration `toml:"stop_grace" default:"6s" validate:"min=1s,max=168h"`
	// Cores and LinkMbps are what the instance gives this process, by which gateways choose
	// the one that plans after another has died.
	Cores    float64 `toml:"cores" default:"1" validate:"min=0.01,max=1024"`
	LinkMbps float64 `toml:"link_mbps" default:"1000" validate:"min=0.1,max=1000000"`

	Policy engine.Policy `toml:"policy"`
}
