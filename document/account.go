package document

// Account is a client account: a customer of the service, its share and its
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

// The adjacencies, from the closest to the loosest.
const (
	SameWorker Adjacency = "worker"
	SameRack   Adjacency = "rack"
	SameZone   Adjacency = "zone"
	Anywhere   Adjacency = "any"
)

// Guarantee is a shape that an account can claim at any moment, Count times at
// once.
type Guarantee struct {
	Accelerators int       `toml:"accelerators" validate:"min=1,max=4096" unit:"accelerators"`
	Adjacent     Adjacency `toml:"adjacent" default:"worker" validate:"oneof=worker rack zone any"`
	Count        int       `toml:"count" default:"1" validate:"min=1,max=4096" unit:"shapes"`
}
