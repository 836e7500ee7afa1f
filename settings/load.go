package settings

import (
	"os"

	"github.com/eelgrasshub/eelgrasshub/document/schema"
)

// Load reads the settings file at path and fills in defaults. The error lists every
// problem with file, line, key and the accepted values.
func Load[T Entry | Agent | Gateway | NodeAgent](path string) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, err
	}
	return Parse[T](path, data)
}

// Parse is like Load, for text in memory. Errors refer to the text by the given name.
func Parse[T Entry | Agent | Gateway | NodeAgent](name string, data []byte) (T, error) {
	s, result := schema.Decode[T](name, data)
	result.Validate(&s)
	return s, result.Problems.Err()
}
