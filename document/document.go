package document

// Objective is what the owner of a service weighs most.
type Objective string

// The objectives a document can name.
const (
	CompletionTime Objective = "completion_time" // from request to whole answer
	Fragmentation  Objective = "fragmentation"   // capacity in pieces too small for waiting jobs
)

// Document is one service's configuration, parsed, with defaults filled in. It
// is never changed after Parse returned it, so that any number of goroutines
// may read it.
type Document struct {
	Service   string    `toml:"service" validate:"required,name"`
	Owner     string    `toml:"owner" validate:"required,min=1,max=120"`
	Objective Objective `toml:"objective" default:"completion_time" validate:"oneof=completion_time fragmentation"`

	Accounts []Account `toml:"account" validate:"min=1,max=1024,dive"`
	Classes  []Class   `toml:"class" validate:"min=1,max=64,dive"`

	Admission Admission `toml:"admission"`
	Routing   Routing   `toml:"routing"`
	Gang      Gang      `toml:"gang"`
	Health    Health    `toml:"health"`
	Topology  *Topology `toml:"topology" validate:"omitempty"`
}

// Account returns the client account called name.
func (d *Document) Account(name string) (*Account, bool) {
	for i := range d.Accounts {
		if d.Accounts[i].Name == name {
			return &d.Accounts[i], true
		}
	}
	return nil, false
}

// Class returns the class called name.
func (d *Document) Class(name string) (*Class, bool) {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i], true
		}
	}
	return nil, false
}
