package trial

import (
	"cmp"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// Defaults of Options.
const (
	DefaultEntries      = 2
	DefaultReportPeriod = time.Second
	DefaultStoreTimeout = time.Second
	DefaultDrainDelay   = 100 * time.Millisecond
	defaultWorkers      = 3
)

// Options configure a Cluster. Zero values take the defaults.
type Options struct {
	// Document is the service document that is put first. Its topology says how
	// many workers there are, in which racks and availability zones.
	Document []byte
	// Workers is how many workers there are where the document has no topology.
	Workers int
	Entries int
	// UDPRelays puts a UDP relay before each entry, which SilenceFlows and a silent
	// death of the entry need. Each packet then takes one hop more.
	UDPRelays bool
	// Target are the options of the workers' stand-ins; Name, Slots, Connections
	// and Accelerators are set by the Cluster.
	Target standin.Options

	ReportPeriod time.Duration
	StoreTimeout time.Duration
	DrainDelay   time.Duration

	// Log takes the lines of all processes; discarded by default.
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
