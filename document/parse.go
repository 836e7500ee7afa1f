package document

import (
	"fmt"

	"github.com/eelgrasshub/eelgrasshub/document/schema"
)

// MaxBytes is the maximum length of a document. It leaves room for the other fields of a
// Version in a store value, which is limited to a megabyte.
const MaxBytes = 512 << 10

// PlacementProblem is a guaranteed shape that does not fit on the topology together with
// the others.
type PlacementProblem struct {
	Account   int // index in Accounts
	Guarantee int // index in Guaranteed
	Reason    string
}

// PlacementCheck places all guaranteed shapes of all accounts on the topology and returns
// those that do not fit. It is a function type so that this package does not depend on the
// scheduler.
type PlacementCheck func(t *Topology, accounts []Account) []PlacementProblem

// Parse reads and validates the document in data. On failure the error is a
// schema.Problems that lists every problem found; name is the file name that it reports.
func Parse(name string, data []byte) (*Document, error) {
	return Check(name, data, nil)
}

// Check is like Parse, and also checks that the guaranteed shapes fit on the document's
// topology, if it has one. If checkPlacement is nil, only sizes and sums are checked.
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
	for _, problem := range checkPlacement(d.Topology, d.Accounts) {
		result.AddProblem(guaranteePath(problem.Account, problem.Guarantee), "%s", problem.Reason)
	}
}

func guaranteePath(account, guarantee int) string {
	return fmt.Sprintf("account[%d].guaranteed[%d]", account, guarantee)
}
