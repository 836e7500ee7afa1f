package document_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/eelgrasshub/eelgrasshub/document"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden error texts")

const samplesDir = "../testdata/documents"

func readSample(c *qt.C, name string) []byte {
	data, err := os.ReadFile(filepath.Join(samplesDir, name))
	c.Assert(err, qt.IsNil)
	return data
}

func TestParseSamples(t *testing.T) {
	for _, name := range []string{"dispatch.toml", "slotbook.toml"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d, err := document.Parse(name, readSample(c, name))
			c.Assert(err, qt.IsNil)
			c.Assert(d.Accounts, qt.HasLen, 4)
			c.Assert(d.Topology.TotalAccelerators(), qt.Equals, 11*8)
		})
	}
}

// All problems of a document are reported at once, each with its line, key and accepted
// values.
func TestParseReportsAllProblems(t *testing.T) {
	files, err := filepath.Glob(samplesDir + "/bad/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			a, err := txtar.ParseFile(file)
			c.Assert(err, qt.IsNil)
			_, err = document.Parse(a.Files[0].Name, a.Files[0].Data)
			c.Assert(err, qt.IsNotNil)
			got := err.Error() + "\n"
			if *updateGolden {
				a.Files[1].Data = []byte(got)
				c.Assert(os.WriteFile(file, txtar.Format(a), 0o644), qt.IsNil)
				return
			}
			c.Assert(got, qt.Equals, string(a.Files[1].Data))
		})
	}
}

// Shapes that fit by size and sum, but not together, are reported with the line of the
// shape.
func TestCheckReportsUnplacedShape(t *testing.T) {
	c := qt.New(t)
	checkPlacement := func(topology *document.Topology, accounts []document.Account) []document.PlacementProblem {
		c.Assert(topology.Zones, qt.HasLen, 3)
		c.Assert(accounts, qt.HasLen, 4)
		return []document.PlacementProblem{{Account: 0, Guarantee: 1, Reason: "no worker is left"}}
	}
	_, err := document.Check("dispatch.toml", readSample(c, "dispatch.toml"), checkPlacement)
	c.Assert(err, qt.ErrorMatches, `dispatch.toml:15: account\[0\].guaranteed\[1\]: no worker is left`)
}
