package document_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
)

// Values that are each within range must not together exhaust the memory of the planner.
func TestParseRejectsExcessiveTotals(t *testing.T) {
	c := qt.New(t)
	const head = "service = \"s\"\nowner = \"o\"\n[[class]]\nname = \"c\"\nkind = \"job\"\n"
	account := func(shapes, count int) string {
		one := fmt.Sprintf("{ accelerators = 1, count = %d },", count)
		return "[[account]]\nname = \"a\"\nguaranteed = [" + strings.Repeat(one, shapes) + "]\n"
	}
	topology := func(racks, workers int) string {
		return "[topology]\n[[topology.zone]]\nname = \"z\"\nracks = [" + strings.Repeat(fmt.Sprintf("%d,", workers), racks) + "]\n"
	}
	for text, want := range map[string]string{
		account(16, 4096):                     "",
		account(17, 4096):                     ".*account: 69632 guaranteed shapes in all, counted by count, want at most 65536",
		account(1, 1) + topology(128, 1024):   "",
		account(1, 1) + topology(129, 1024):   ".*topology: 132096 workers, want at most 131072",
		account(1, 1) + topology(4097, 1):     ".*racks: got 4097.*",
		account(17, 4096) + topology(200, 17): "(?s).*69632 guaranteed shapes.*",
	} {
		_, err := document.Parse("d.toml", []byte(head+text))
		if want == "" {
			c.Check(err, qt.IsNil)
			continue
		}
		c.Check(err, qt.ErrorMatches, want)
	}
}
