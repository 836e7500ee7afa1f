package settings_test

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/settings"
)

func TestLoadSamples(t *testing.T) {
	c := qt.New(t)
	for _, deployment := range []string{"tidewater", "peachline"} {
		file := filepath.Join("../testdata/settings", deployment)
		entry, err := settings.Load[settings.Entry](file + "-entry.toml")
		c.Assert(err, qt.IsNil)
		agent, err := settings.Load[settings.Agent](file + "-agent.toml")
		c.Assert(err, qt.IsNil)
		c.Assert(agent.Region, qt.Equals, entry.Region)
		c.Assert(agent.ClusterKey, qt.Equals, entry.ClusterKey)
	}
}

// All problems of a file are reported at once, with the accepted values and without
// secrets.
func TestProblemsNameKeyAndReason(t *testing.T) {
	c := qt.New(t)
	const text = `id = "Entry 1"
region = "auckland"
zone = "wharf"
http_listen = "8080"
cluster_key = "too short"
accepted_keys = [
  "sixteen characters",
  "short",
]
platform = ["127.0.0.1:2379"]
report_every = 5
colour = "red"
`
	_, err := settings.Parse[settings.Entry]("entry.toml", []byte(text))
	c.Assert(err, qt.ErrorMatches, `entry.toml:1: id: got "Entry 1", want 1 to 63 .*
entry.toml:4: http_listen: got "8080", want an IP number or host name with a port.*
entry.toml:5: cluster_key: want at least 16 characters
entry.toml:8: accepted_keys\[1\]: want at least 16 characters
entry.toml:10: platform\[0\]: got "127.0.0.1:2379", want a URL such as .*
entry.toml:11: report_every: wrong type, want duration such as "250ms" or "4h", 100ms to 60s
entry.toml:12: colour: unknown key`)
}

func TestLoadMissingFile(t *testing.T) {
	_, err := settings.Load[settings.Agent]("nowhere.toml")
	qt.Assert(t, err, qt.ErrorMatches, `.*nowhere.toml.*no such file.*`)
}

// A default must not replace a key that is explicitly set to zero.
func TestExplicitZeroIsKept(t *testing.T) {
	c := qt.New(t)
	const text = `id = "w"
service = "s"
region = "r"
zone = "z"
rack = "k"
seeds = ["10.0.0.1:7800"]
cluster_key = "0123456789abcdef"
target = "http://127.0.0.1:8090"
accelerators = 0
`
	agent, err := settings.Parse[settings.Agent]("agent.toml", []byte(text))
	c.Assert(err, qt.IsNil)
	c.Assert(agent.Accelerators, qt.Equals, 0)
	c.Assert(agent.Slots, qt.Equals, 8)
}
