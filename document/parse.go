package document

import (
	"fmt"

	"github.com/eelgrasshub/eelgrasshub/document/schema"
)

// MaxBytes is the longest document taken. The store holds values of up to a
// megabyte; the envelope needs some of it.
const MaxBytes = 512 << 10

// PlacementProblem is one guaranteed shape that does not fit together with the others.
type PlacementProblem struct {
	Account   int // position in Accounts
	Guarantee int // position in Guaranteed
	Reason    string
}

// PlacementCheck places every guaranteed shape of every account at once on the
// expected topology and returns those that find no place. It is a function
// value so that this package does not depend on the placement code.
type PlacementCheck func(t *Topology, accounts []Account) []PlacementProblem

// Parse reads and checks the document in data. The error is a schema.Problems
// with every problem found; name is the file's name in it.
func Parse(name string, data []byte) (*Document, error) {
	return Check(name, data, nil)
}

// Check is Parse with, in addition, the fit of the guaranteed shapes on the
// document's topology, where it has one. A nil fit checks sums and sizes only.
func Check(name string, data []byte, checkPlacement PlacementCheck) (*Document, error) {
	if len(data) > MaxBytes {
		reason := fmt.Sprintf("is %d bytes long, want at most %d", len(data), MaxBytes)
		return nil, schema.Problems{{File: name, Reason: reason}}
	}
	d, result := schema.Decode[Document](name, data)
	for i := range d.Classes {
		d.Classes[i].fillDerivedDefaults(func(key string) bool {
			return result.Index.IsSet(fmt.Sprintf("class[%d].%s", i, key))
		})
	}
	result.Validate(&d)
	checkConsistency(&d, result)
	if len(result.Problems) == 0 && checkPlacement != nil && d.Topology != nil {
		addPlacementProblems(&d, result, checkPlacement)
	}
	if err := result.Problems.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

func addPlacementProblems(d *Document, result *schema.Result, checkPlacement PlacementCheck) {
	for _, m := range checkPlacement(d.Topology, d.Accounts) {
		result.AddProblem(guaranteePath(m.Account, m.Guarantee), "%s", m.Reason)
	}
}

func guaranteePath(account, guarantee int) string {
	return fmt.Sprintf("account[%d].guaranteed[%d]", account, guarantee)
}
