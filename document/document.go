package document

// Objective is the quantity that the service's scheduling optimizes.
type Objective string

// Objectives that a document may name.
const (
	CompletionTime Objective = "completion_time" // time from request to complete answer
	Fragmentation  Objective = "fragmentation"   // free capacity in pieces too small for the waiting jobs
)

// Document is the parsed configuration of one service, with defaults filled in. It is
// immutable once Parse has returned it and safe for concurrent use.
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

// Account returns the client account with the given name.
func (d *Document) Account(name string) (*Account, bool) {
	for i := range d.Accounts {
		if d.Accounts[i].Name == name {
			return &d.Accounts[i], true
		}
	}
	return nil, false
}

// Class returns the class with the given name.
func (d *Document) Class(name string) (*Class, bool) {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i], true
		}
	}
	return nil, false
}
