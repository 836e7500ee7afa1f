package capacity

import (
	"bytes"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// Usage holds the resources that this process has used so far.
type Usage struct {
	Processor  time.Duration // user and system time
	Reading    time.Duration // processor time spent on ReadUsage itself
	Heap       uint64        // bytes in live objects
	Stacks     uint64        // bytes
	Resident   uint64        // bytes
	Goroutines int
}

// ReadUsage reads the usage after two garbage collections, whose processor time counts as
// Reading and not as Processor.
func ReadUsage() Usage {
	u := Usage{Processor: ProcessorTime(), Goroutines: runtime.NumGoroutine()}
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap, u.Stacks, u.Resident = m.HeapAlloc, m.StackInuse, residentBytes()
	u.Reading = ProcessorTime() - u.Processor
	return u
}

// ProcessorTimeSince returns the processor time used between two readings, without that of the
// first reading itself.
func (u Usage) ProcessorTimeSince(before Usage) time.Duration {
	return u.Processor - before.Processor - before.Reading
}

// ProcessorTime returns the user and system time of this process, or 0 on an error.
func ProcessorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// residentBytes returns the resident set size, or 0 if the system does not provide it.
func residentBytes() uint64 {
	raw, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(raw)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseUint(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}
