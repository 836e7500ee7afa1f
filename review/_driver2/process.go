package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the pause before the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// process is a process of the project. The platform starts it again when it ends.
type process struct {
	name   string
	rec    *record
	args   []string
	binary string
	log    string
	done   chan struct{}

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	ends    int // how often the process has ended by itself
	kills   int // how often it was killed for its memory
	peakMB  int
}

func startProcess(rec *record, dir, name, binary string, args ...string) (*process, error) {
	p := &process{name: name, rec: rec, args: args, binary: binary, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	cmd, err := p.start()
	if err != nil {
		return nil, err
	}
	go p.supervise(cmd)
	return p, nil
}

func (p *process) start() (*exec.Cmd, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	if p.stopped {
		return nil, os.ErrProcessDone
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.cmd = cmd
	p.rec.add("platform: started %s", p.name)
	return cmd, nil
}

// supervise waits for the process and starts it again until it is stopped.
func (p *process) supervise(cmd *exec.Cmd) {
	defer close(p.done)
	for {
		_ = cmd.Wait() // how it ended is in its state
		p.mu.Lock()
		stopped := p.stopped
		if !stopped {
			p.ends++
		}
		p.mu.Unlock()
		if stopped {
			return
		}
		p.rec.add("platform: %s has ended: %s", p.name, cmd.ProcessState)
		time.Sleep(restartDelay)
		next, err := p.start()
		if err != nil {
			return
		}
		cmd = next
	}
}

// stop kills the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	<-p.done
}

// limitMemory kills the process while it uses more than limitMB, as the platform does.
func (p *process) limitMemory(limitMB int, until <-chan struct{}) {
	for {
		select {
		case <-until:
			return
		case <-time.After(50 * time.Millisecond):
		}
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		used := residentMB(cmd.Process.Pid)
		p.mu.Lock()
		p.peakMB = max(p.peakMB, used)
		exceeded := used > limitMB && cmd == p.cmd && cmd.ProcessState == nil
		if exceeded {
			p.kills++
			p.rec.add("platform: %s uses %d MB of %d MB and is killed", p.name, used, limitMB)
			_ = cmd.Process.Signal(syscall.SIGKILL)
		}
		p.mu.Unlock()
		if exceeded {
			time.Sleep(restartDelay / 2)
		}
	}
}

// memoryKills returns how often the process was killed for its memory.
func (p *process) memoryKills() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kills
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1]) // 0 if unreadable
	return pages * os.Getpagesize() >> 20
}
