package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/eelgrasshub/eelgrasshub/settings"
)

// fuzzSecret is too long for a fuzz test to generate it by chance.
const fuzzSecret = "vongole-secret-0123456789"

// addSeeds seeds a fuzz test with the sample settings and with texts that may follow the
// secret.
func addSeeds(f *testing.F, pattern string) {
	files, err := filepath.Glob("../testdata/settings/" + pattern)
	if err != nil || len(files) == 0 {
		f.Fatal(err, files)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		text := string(data)
		start := strings.Index(text, "cluster_key")
		end := start + strings.Index(text[start:], "\n")
		f.Add(text[:start], "\""+text[end:])
		f.Add(text, "\"\n")
	}
	for _, after := range []string{"", "\nregion = 5", "\"\naccepted_keys = [\"short\"]", "\" \"", "\\q\"", "\"]\ncolour = 1", "\x00\"", "\" }"} {
		f.Add("id = \"e1\"\nreport_every = 5\n", after)
		f.Add("[entry]\nlist = [", after)
		f.Add("a = { ", after)
	}
}

// fuzzInput returns a file with the secret between before and after. It returns nil if the
// secret could become part of a multi-line string of another key.
func fuzzInput(before, after string) []byte {
	if strings.Contains(before, `"""`) || strings.Contains(before, "'''") {
		return nil
	}
	return []byte(before + "\ncluster_key = \"" + fuzzSecret + after)
}

// checkParsed checks that an error names the file and does not contain the secret.
func checkParsed(t *testing.T, id string, err error) {
	if err == nil {
		if id == "" {
			t.Fatal("settings without an id were accepted")
		}
		return
	}
	if !strings.HasPrefix(err.Error(), "fuzz.toml:") {
		t.Fatalf("error does not name the file: %v", err)
	}
	if strings.Contains(err.Error(), fuzzSecret) {
		t.Fatalf("error contains a secret: %v", err)
	}
}

// FuzzEntry guards against errors that reveal a secret or do not name the file, for
// arbitrary settings of an entry.
func FuzzEntry(f *testing.F) {
	addSeeds(f, "*-entry.toml")
	f.Fuzz(func(t *testing.T, before, after string) {
		s, err := settings.Parse[settings.Entry]("fuzz.toml", fuzzInput(before, after))
		checkParsed(t, s.ID, err)
	})
}

// FuzzAgent is FuzzEntry for the settings of an agent.
func FuzzAgent(f *testing.F) {
	addSeeds(f, "*-agent.toml")
	f.Fuzz(func(t *testing.T, before, after string) {
		s, err := settings.Parse[settings.Agent]("fuzz.toml", fuzzInput(before, after))
		checkParsed(t, s.ID, err)
	})
}
