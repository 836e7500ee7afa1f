package entry

import (
	"math"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

// accountShareFactor is how much more of its own first attempts one client
// account may spend on retries than all together: the failures of one target can
// meet a few accounts only.
const accountShareFactor = 2

// retriesOf is the retry budget that a document declares.
func retriesOf(d *document.Document) routing.Retries {
	return routing.Retries{
		Share:        d.Routing.RetryShare,
		AccountShare: accountShareFactor * d.Routing.RetryShare,
		Burst:        d.Routing.RetryBurst,
	}
}

// maxInFlight is how many requests this entry may have at one target.
func (e *Entry) maxInFlight(service string) int {
	held, ok := e.docs.Current(service)
	if !ok {
		return math.MaxInt
	}
	return held.Document.Routing.MaxInFlight
}

// relativeWeight is the account's weight over the mean of all accounts.
func relativeWeight(d *document.Document, account string) float64 {
	sum, own := 0, 0
	for i := range d.Accounts {
		sum += d.Accounts[i].Weight
		if d.Accounts[i].Name == account {
			own = d.Accounts[i].Weight
		}
	}
	if sum == 0 {
		return 1
	}
	return float64(own*len(d.Accounts)) / float64(sum)
}
