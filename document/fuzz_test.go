package document_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/eelgrasshub/eelgrasshub/document"
)

// FuzzParse checks that Parse rejects arbitrary input with an error and does not panic.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"*.toml", "bad/*.txtar"} {
		files, err := filepath.Glob(filepath.Join(samplesDir, pattern))
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			if a := txtar.Parse(data); len(a.Files) > 0 {
				data = a.Files[0].Data
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := document.Parse("fuzz.toml", data)
		if (d == nil) == (err == nil) {
			t.Fatalf("document %v, error %v", d, err)
		}
	})
}
