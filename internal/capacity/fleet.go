package capacity

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	regionName = "r"
	clusterKey = "key of a measurement on loopback"
	loopback   = "127.0.0.1:0"
)

// Fleet is a group of stand-in agents of one entry. Its methods are safe for concurrent use.
type Fleet struct {
	Traffic Traffic
	// Reports counts answered reports, Failed those without an answer, Refused those that the
	// entry refused and RelayReports those that a relay answered. Admitted counts the agents
	// with at least one report that was not refused.
	Reports, Failed, Refused, Admitted, RelayReports atomic.Int64

	entry        string
	reportPeriod time.Duration
	varyLoad     bool
	rackSize     int

	mu        sync.Mutex
	agents    []*standinAgent
	appliedAt map[uint64][]time.Time // times at which agents applied a generation
}

// NewFleet returns a fleet without agents. With varyLoad, the load of each agent changes before
// each of its reports.
func NewFleet(entry string, reportPeriod time.Duration, varyLoad bool) *Fleet {
	return &Fleet{entry: entry, reportPeriod: reportPeriod, varyLoad: varyLoad, appliedAt: make(map[uint64][]time.Time)}
}

// SetRackSize spreads the agents over racks of n, starting with "rack-0". They report through
// the relay that the entry names for their rack, and do not act as relays. It must be called
// before Add.
func (f *Fleet) SetRackSize(n int) { f.rackSize = n }

func (f *Fleet) rackName(i int) string {
	if f.rackSize == 0 {
		return "rack-0"
	}
	return fmt.Sprint("rack-", i/f.rackSize)
}

// Add starts n agents, spread evenly over the services.
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

// Stop stops all agents concurrently. The fleet can be filled again.
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

// AppliedAt returns the times at which agents applied a generation, one for each that did.
func (f *Fleet) AppliedAt(generation uint64) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.appliedAt[generation]...)
}
