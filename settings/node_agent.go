package settings

import "github.com/eelgrasshub/eelgrasshub/document/schema"

// OrdersByHeartbeat is the value of NodeAgent.OrderDelivery for a worker that receives its
// orders in the replies to its heartbeats.
const OrdersByHeartbeat = "heartbeat"

// NodeAgent holds the settings of a node agent on the operators' platform.
type NodeAgent struct {
	ID     string `toml:"id" validate:"required,name"`
	Region string `toml:"region" validate:"required,name"`
	Zone   string `toml:"zone" validate:"required,name"` // availability zone

	// Listen is the UDP address at which other processes reach this one.
	Listen string `toml:"listen" validate:"required,addr"`
	// RegistryListen is the HTTP address that receives the worker's heartbeats.
	RegistryListen string `toml:"registry_listen" validate:"required,addr"`
	MetricsListen  string `toml:"metrics_listen" validate:"omitempty,addr"`
	// GatewayPort is the UDP port on which every gateway listens.
	GatewayPort int      `toml:"gateway_port" validate:"min=1,max=65535"`
	Seeds       []string `toml:"seeds"` // hosts, with any port, of gateways
	ClusterKey  string   `toml:"cluster_key" validate:"required,min=16" secret:"true"`
	Store       string   `toml:"store" validate:"required,addr"`
	// Worker is the address of the worker on this instance.
	Worker string `toml:"worker" validate:"required,addr"`
	// OrderDelivery is how the worker receives its orders: by calls, or in the replies to
	// its heartbeats.
	OrderDelivery string `toml:"orders" default:"push" validate:"oneof=push heartbeat"`

	// MaxLease is the longest lease that the worker grants to its runs.
	MaxLease schema.Duration `toml:"max_hold" default:"6s" validate:"min=100ms,max=1h"`
	// StopGrace is the maximum duration of a graceful stop.
	StopGrace schema.Duration `toml:"stop_grace" default:"2s" validate:"min=1s,max=168h"`
}
