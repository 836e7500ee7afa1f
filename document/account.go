package document

// Account is a client account: a customer of the service, with its share and its
// guaranteed shapes.
type Account struct {
	Name       string      `toml:"name" validate:"required,name"`
	Weight     int         `toml:"weight" default:"1" validate:"min=1,max=1000"`
	MaxQueued  int         `toml:"max_queued" default:"64" validate:"min=1,max=100000" unit:"requests per agent"`
	MaxJobs    int         `toml:"max_jobs" default:"100" validate:"min=0,max=100000" unit:"jobs"`
	Guaranteed []Guarantee `toml:"guaranteed" validate:"max=64,dive"`
}

// Adjacency is how close to each other the accelerators of a shape must be.
type Adjacency string

// Adjacencies, from the strictest to none.
const (
	SameWorker Adjacency = "worker"
	SameRack   Adjacency = "rack"
	SameZone   Adjacency = "zone"
	Anywhere   Adjacency = "any"
)

// Guarantee is a shape of accelerators that an account may claim at any time, up to Count
// of them at once.
type Guarantee struct {
	Accelerators int       `toml:"accelerators" validate:"min=1,max=4096" unit:"accelerators"`
	Adjacent     Adjacency `toml:"adjacent" default:"worker" validate:"oneof=worker rack zone any"`
	Count        int       `toml:"count" default:"1" validate:"min=1,max=4096" unit:"shapes"`
}
