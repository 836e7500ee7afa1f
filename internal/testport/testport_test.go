package testport_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/internal/testport"
)

func TestAddressesAreFreeAndDiffer(t *testing.T) {
	c := qt.New(t)
	r := testport.Range{From: 30_100, To: 30_200}
	seen := map[string]bool{}
	for range 50 {
		addr := r.FreeAddr()
		c.Assert(seen[addr], qt.IsFalse)
		seen[addr] = true
	}
	addr := r.FreeAddr()
	l, err := net.Listen("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer l.Close()
	for range 60 {
		c.Assert(r.FreeAddr(), qt.Not(qt.Equals), addr)
	}
}

// shared is a range that two processes use at once.
var shared = testport.Range{From: 30_200, To: 30_210}

const (
	helperEnv  = "TESTPORT_HELPER"
	sharedEach = 5 // addresses that each process takes
)

// TestMain hands out addresses in a second process when helperEnv is set.
func TestMain(m *testing.M) {
	if os.Getenv(helperEnv) == "" {
		os.Exit(m.Run())
	}
	for range sharedEach {
		fmt.Println(shared.FreeAddr())
	}
	_, _ = os.Stdin.Read(make([]byte, 1)) // holds its addresses until the test ends
}

// Two test processes must not get the same address, even if neither listens on it yet: one would
// fail to listen, or its processes would join the other's deployment.
func TestProcessesGetDifferentAddresses(t *testing.T) {
	c := qt.New(t)
	helper := exec.Command(os.Args[0])
	helper.Env = append(os.Environ(), helperEnv+"=1")
	stdin, err := helper.StdinPipe()
	c.Assert(err, qt.IsNil)
	stdout, err := helper.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(helper.Start(), qt.IsNil)
	defer func() {
		_ = stdin.Close()
		_ = helper.Wait()
	}()
	seen := map[string]bool{}
	lines := bufio.NewScanner(stdout)
	for range sharedEach {
		c.Assert(lines.Scan(), qt.IsTrue)
		seen[lines.Text()] = true
	}
	for range sharedEach {
		addr := shared.FreeAddr()
		c.Check(seen[addr], qt.IsFalse, qt.Commentf("%s", addr))
	}
}
