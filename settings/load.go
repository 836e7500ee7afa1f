package settings

import (
	"os"

	"github.com/eelgrasshub/eelgrasshub/document/schema"
)

// Load reads the settings in the file at path into a T, with defaults filled in.
// The error names every problem with file, line, key and what is accepted.
func Load[T Entry | Agent | Gateway | NodeAgent](path string) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, err
	}
	return Parse[T](path, data)
}

// Parse is Load for text that is at hand; name is used in errors.
func Parse[T Entry | Agent | Gateway | NodeAgent](name string, data []byte) (T, error) {
	s, result := schema.Decode[T](name, data)
	result.Validate(&s)
	return s, result.Problems.Err()
}
