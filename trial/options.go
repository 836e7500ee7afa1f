package trial

import (
	"cmp"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// Default values of Options.
const (
	DefaultEntries      = 2
	DefaultReportPeriod = time.Second
	DefaultStoreTimeout = time.Second
	DefaultDrainDelay   = 100 * time.Millisecond
	defaultWorkers      = 3
)

// Options configures a Cluster. Zero values select the defaults.
type Options struct {
	// Document is the initial service document. Its topology gives the workers with their racks
	// and availability zones.
	Document []byte
	// Workers is the number of workers if the document has no topology.
	Workers int
	Entries int
	// UDPRelays puts a UDP relay in front of each entry. DropFlows, DropAllFlows and a Kill that
	// the peers do not notice at once need it.
	UDPRelays bool
	// Target holds the options of the workers' stand-in targets. The Cluster sets Name and
	// Accelerators; Slots and Connections must stay unset, as the agents are configured with their
	// defaults.
	Target standin.Options

	ReportPeriod time.Duration
	StoreTimeout time.Duration
	DrainDelay   time.Duration

	// Log receives the log of all processes; discarded by default.
	Log *logrus.Entry
}

func (o Options) withDefaults() Options {
	o.Entries = cmp.Or(o.Entries, DefaultEntries)
	o.Workers = cmp.Or(o.Workers, defaultWorkers)
	o.ReportPeriod = cmp.Or(o.ReportPeriod, DefaultReportPeriod)
	o.StoreTimeout = cmp.Or(o.StoreTimeout, DefaultStoreTimeout)
	o.DrainDelay = cmp.Or(o.DrainDelay, DefaultDrainDelay)
	if o.Log == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		o.Log = logrus.NewEntry(log)
	}
	return o
}
