package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// linkFaultsEnv names the environment variable with the path of a process's file of link faults.
const linkFaultsEnv = "EELGRASSHUB_TEST_LINK_FAULTS"

// linkFaults are the faults of the UDP links of one process. The zero value has none.
type linkFaults struct {
	DropOut    bool    // drop all sent datagrams
	DropIn     bool    // drop all received datagrams
	LossOut    float64 // share of the sent datagrams that are dropped
	DelayShare float64 // share of the sent datagrams that are delayed
	DelayMinMs int
	DelayMaxMs int
}

// setLinkFaults replaces the link faults of the process. It has them within about 40 ms.
func (c *child) setLinkFaults(faults linkFaults) {
	text, err := json.Marshal(faults)
	c.linkMu.Lock()
	defer c.linkMu.Unlock()
	if err == nil {
		err = os.WriteFile(c.linkPath+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(c.linkPath+".new", c.linkPath)
	}
	if err != nil {
		panic(err) // the test's own directory can't be written
	}
}

// linkOverlay returns the path of an overlay for the compiler that replaces the UDP sockets of
// package wire with ones that have link faults. All else is compiled as it is.
func linkOverlay(t *testing.T) string {
	dir := t.TempDir()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	configPath := filepath.Join(root, "wire", "config.go")
	config, err := os.ReadFile(configPath)
	if err != nil {
		t.Fatal(err)
	}
	const socketDefault = "c.ListenPacket = net.ListenPacket"
	if bytes.Count(config, []byte(socketDefault)) != 1 {
		t.Fatalf("%s has no single line %q", configPath, socketDefault)
	}
	replaced := bytes.Replace(config, []byte(socketDefault), []byte("c.ListenPacket = listenFaultyLink"), 1)
	source, err := os.ReadFile("testdata/faulty_link.go.txt")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{"config.go": replaced, "faulty_link.go": source}
	replace := map[string]string{}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		replace[filepath.Join(root, "wire", name)] = path
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(path, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func linkEnv(path string) string { return fmt.Sprint(linkFaultsEnv, "=", path) }
