package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/agent"
	"github.com/eelgrasshub/eelgrasshub/entry"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

// A measured process is this test binary, started with its settings in the environment. It
// answers each line of input with its usage and exits when its input ends.
const (
	entrySettingsEnv = "EELGRASSHUB_CAPACITY_ENTRY"
	agentSettingsEnv = "EELGRASSHUB_CAPACITY_AGENT"
	// profileEnv names the file for a CPU profile of the measured process.
	profileEnv = "EELGRASSHUB_CAPACITY_PROFILE"

	usagePrefix = "usage "
	readyPrefix = "ready "
)

// process is a daemon in a process of its own.
type process struct {
	c         *qt.C
	cmd       *exec.Cmd
	in        io.WriteCloser
	lines     *bufio.Scanner
	addresses []string
}

func startProcess(c *qt.C, env string, cfg any) *process {
	text, err := json.Marshal(cfg)
	c.Assert(err, qt.IsNil)
	p := &process{c: c, cmd: exec.Command(os.Args[0], "-test.run=TestProcess", "-measure", "-test.timeout=150s")}
	if profile := os.Getenv(profileEnv); profile != "" {
		p.cmd.Args = append(p.cmd.Args, "-test.cpuprofile="+profile)
	}
	p.cmd.Env = append(os.Environ(), env+"="+string(text))
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	p.in, err = p.cmd.StdinPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(p.cmd.Start(), qt.IsNil)
	p.lines = bufio.NewScanner(out)
	c.Cleanup(p.stop)
	p.addresses = strings.Fields(p.readLine(readyPrefix))
	return p
}

func (p *process) readLine(prefix string) string {
	p.c.Helper()
	for p.lines.Scan() {
		if rest, ok := strings.CutPrefix(p.lines.Text(), prefix); ok {
			return rest
		}
	}
	p.c.Fatal("the measured process exited")
	return ""
}

func (p *process) usage() Usage {
	p.c.Helper()
	fmt.Fprintln(p.in, "usage")
	var u Usage
	p.c.Assert(json.Unmarshal([]byte(p.readLine(usagePrefix)), &u), qt.IsNil)
	return u
}

func (p *process) stop() {
	_ = p.in.Close()
	_ = p.cmd.Wait()
}

// TestProcess runs the measured daemon in the child process.
func TestProcess(t *testing.T) {
	c := requireMeasure(t)
	var addresses []string
	switch {
	case os.Getenv(entrySettingsEnv) != "":
		var cfg settings.Entry
		c.Assert(json.Unmarshal([]byte(os.Getenv(entrySettingsEnv)), &cfg), qt.IsNil)
		e, err := entry.Start(cfg, discardLogger())
		c.Assert(err, qt.IsNil)
		defer e.Close()
		addresses = []string{e.QUICAddr(), e.HTTPAddr()}
	case os.Getenv(agentSettingsEnv) != "":
		var cfg settings.Agent
		c.Assert(json.Unmarshal([]byte(os.Getenv(agentSettingsEnv)), &cfg), qt.IsNil)
		a, err := agent.Start(cfg, discardLogger())
		c.Assert(err, qt.IsNil)
		defer a.Close()
		addresses = []string{a.Addr()}
	default:
		t.Skip("runs only as a child process of other measurements")
	}
	fmt.Printf("\n%s%s\n", readyPrefix, strings.Join(addresses, " "))
	for input := bufio.NewScanner(os.Stdin); input.Scan(); {
		text, err := json.Marshal(ReadUsage())
		c.Assert(err, qt.IsNil)
		fmt.Printf("%s%s\n", usagePrefix, text)
	}
}
