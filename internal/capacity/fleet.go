package capacity

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	region     = "r"
	clusterKey = "key of a measurement on loopback"
	loopback   = "127.0.0.1:0"
)

// Fleet is many stand-in agents of one entry. Its methods are safe for
// concurrent use.
type Fleet struct {
	Traffic Traffic
	// Reports counts answered reports, Failed those without an answer, Refused
	// those that the entry refused. Admitted counts agents, by the first answer
	// that did not refuse them.
	// RelayReports counts reports answered by a relay.
	Reports, Failed, Refused, Admitted, RelayReports atomic.Int64

	entry        string
	reportPeriod time.Duration
	varyLoad     bool
	rackSize     int

	mu        sync.Mutex
	agents    []*standinAgent
	appliedAt map[uint64][]time.Time // when a generation came in force, by agent
}

// NewFleet returns a fleet without agents. With loads, the load of each agent
// changes between any two of its reports.
func NewFleet(entry string, reportPeriod time.Duration, varyLoad bool) *Fleet {
	return &Fleet{entry: entry, reportPeriod: reportPeriod, varyLoad: varyLoad, appliedAt: make(map[uint64][]time.Time)}
}

// SetRackSize spreads the stand-ins over racks of n each, "rack-0" first. They report by
// the relay that the entry names there, and are none themselves. Call it before
// Add.
func (f *Fleet) SetRackSize(n int) { f.rackSize = n }

func (f *Fleet) rackName(i int) string {
	if f.rackSize == 0 {
		return "rack-0"
	}
	return fmt.Sprint("rack-", i/f.rackSize)
}

// Add starts n agents at once, spread evenly over the services.
func (f *Fleet) Add(n int, services ...string) error {
	f.mu.Lock()
	from := len(f.agents)
	f.mu.Unlock()
	for i := from; i < from+n; i++ {
		a, err := startStandinAgent(f, fmt.Sprintf("agent-%05d", i), services[i%len(services)], f.rackName(i))
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.agents = append(f.agents, a)
		f.mu.Unlock()
	}
	return nil
}

// Stop ends all agents at once; the fleet may be filled again.
func (f *Fleet) Stop() {
	f.mu.Lock()
	agents := f.agents
	f.agents = nil
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, a := range agents {
		wg.Go(a.stop)
	}
	wg.Wait()
}

func (f *Fleet) recordApplied(generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appliedAt[generation] = append(f.appliedAt[generation], time.Now())
}

// AppliedAt returns when each agent that has it put a generation in force.
func (f *Fleet) AppliedAt(generation uint64) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.appliedAt[generation]...)
}
