package settings_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/document/schema"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

// findRow returns the row of a key in a section of the reference page, or "".
func findRow(section, path string) string {
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `"+path+"` |") {
			return line
		}
	}
	return ""
}

// Guards against keys that are added, renamed or given another default or range without an
// update of the reference page.
func TestReferencePageListsEveryKey(t *testing.T) {
	data, err := os.ReadFile("../docs/CONFIGURATION.md")
	qt.Assert(t, err, qt.IsNil)
	page := string(data)
	for _, test := range []struct {
		heading string
		keys    []schema.Key
	}{
		{"## The document", schema.Keys[document.Document]()},
		{"## Settings of an entry", schema.Keys[settings.Entry]()},
		{"## Settings of an agent", schema.Keys[settings.Agent]()},
		{"## Settings of a gateway", schema.Keys[settings.Gateway]()},
		{"## Settings of a node agent", schema.Keys[settings.NodeAgent]()},
	} {
		t.Run(test.heading, func(t *testing.T) {
			c := qt.New(t)
			_, section, found := strings.Cut(page, test.heading+"\n")
			c.Assert(found, qt.IsTrue)
			section, _, _ = strings.Cut(section, "\n## ")
			rows := 0
			for _, k := range test.keys {
				row := findRow(section, k.Path)
				c.Check(row, qt.Not(qt.Equals), "", qt.Commentf("no row for %s", k.Path))
				c.Check(row, qt.Contains, "| "+k.Range()+" |", qt.Commentf("%s", k.Path))
				if k.Default != "" {
					c.Check(row, qt.Contains, "| `"+k.Default+"` |", qt.Commentf("%s", k.Path))
				}
				rows++
			}
			c.Assert(strings.Count(section, "\n| `"), qt.Equals, rows, qt.Commentf("the page has a row for a key that does not exist"))
		})
	}
}
